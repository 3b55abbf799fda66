"""Order of preference among engines for requests that share a prompt part."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict

from cicadaledge.placing._speed_reports import SpeedReports
from cicadaledge.routing import Call, ServerDirectory, ServerEntry

# Each prompt prefix has its own order, and about this many prefixes are in use at a time. An order
# of 70 names takes 0.6 KB of memory.
_MAX_CACHED_ORDERS = 2_048


class EngineRanking:
    """Ranks the engines of a service by rendezvous hash of a prompt's last shared part.

    For prompts with parts that are suspected of crashing servers, these enter the hash as well.
    Otherwise prompts that share only their last part with one that crashes servers would go to the
    same engine as it does, until no engine is left that can answer them and thereby clear them. The
    last part stays in the hash, as after an ordinary crash the parts of many prompts are suspect for
    a moment, which one engine could not take.

    An engine on which work lasts longer ranks first for fewer prompts. Orders are cached until the
    set of usable servers or their speed levels change.

    Args:
        directory: The servers.
        speeds: The speeds that the servers report.
    """

    def __init__(self, directory: ServerDirectory, speeds: SpeedReports) -> None:
        self._directory = directory
        self._speeds = speeds
        self._generation = (-1, -1)
        self._orders: OrderedDict[tuple[str, str], list[str]] = OrderedDict()

    def ranked(
        self,
        call: Call,
        service: str,
        candidates: dict[str, ServerEntry],
        now_ms: float,
        suspect_parts: tuple[str, ...] = (),
    ) -> list[ServerEntry]:
        """Return the candidates, which must be usable, in the order for a request's prompt."""
        order = self._order(call, service, now_ms, suspect_parts)
        return [candidates[name] for name in order if name in candidates]

    def _order(
        self, call: Call, service: str, now_ms: float, suspect_parts: tuple[str, ...]
    ) -> list[str]:
        names = self._directory.usable_by_name(service)
        speeds = self._speeds
        generation = (self._directory.generation, speeds.level_generation(service, names, now_ms))
        if self._generation != generation:
            self._orders.clear()
            self._generation = generation
        shared = call.shared_parts
        last_part = shared[-1].digest if shared else call.request_id
        key = (service, " ".join((last_part, *suspect_parts)))
        order = self._orders.get(key)
        if order is None:
            order = sorted(
                names, key=lambda name: _rendezvous_score(key[1], name, speeds.level(name))
            )
            self._orders[key] = order
            if len(self._orders) > _MAX_CACHED_ORDERS:
                self._orders.popitem(last=False)
        return order


def _rendezvous_score(prefix: str, server: str, speed_level: int) -> float:
    """Return the score of a server, of which the lowest wins.

    A server wins in proportion to the inverse square of how long its work takes. With the plain
    inverse, fewer long prompts are answered in time (docs/design/reported-speeds.md).

    Args:
        speed_level: How long work takes, in octaves.
    """
    hashed = hashlib.blake2b(f"{prefix}/{server}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(hashed, "big") >> 11) / 2.0**53
    return -math.log1p(-uniform) * 4.0**speed_level
