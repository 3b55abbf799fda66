"""Entry point of a router on the platform's machines."""

from __future__ import annotations

from cicadaledge.edge import run_edge_router
from cicadaledge.platform._header_codec import PlatformHeaderCodec
from cicadaledge.platform._settings_file import load_edge_settings
from cicadaledge.platform._store_client import StoreClient
from cicadaledge.platform._topics import ControlTopic, MemberTopic, RolloutStatusTopic, ServerTopic
from cicadaledge.store import StoreTopics


def main() -> None:
    """Run a router with the settings file that the platform has written."""
    settings = load_edge_settings()
    client = StoreClient(settings.store.host, settings.store.port)
    members = MemberTopic(client)
    statuses = RolloutStatusTopic(client)
    topics = StoreTopics(ControlTopic(client), ServerTopic(client), members, members, statuses)
    run_edge_router(settings, PlatformHeaderCodec(), topics)
