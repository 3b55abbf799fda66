"""Settings, configuration and headers in the formats of the users' platform."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from cicadaledge.edge import BoundSettings, Headers, ResponseHead
from cicadaledge.rollouts import RolloutSettings
from cicadaledge.settings import Address

NODE_FILE_VARIABLE = "CICADALEDGE_NODE_FILE"
READY_PATH = "/cicadaledge/readyz"
EXTRA_ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 5\r\n\r\nextra"


@frozen
class NodeFile:
    """The settings file of one router.

    Args:
        peers: Address for connections of other routers; metrics are served at the next port.
        cold_overage: Multiple of a cold server's capacity that no server may exceed.
        rollouts: Limits on rollouts, and whether the contracts contain them.
        memory_mb: Memory of the VM, in MiB; None leaves the limit out.
        descriptors: Descriptors of the process; None leaves the limit out.
    """

    router: str
    zone: str
    regions_by_zone: dict[str, str]
    callers: Address
    probes: Address
    peers: Address
    store: Address
    bounds: BoundSettings = BoundSettings()
    cold_overage: float = 1.0
    rollouts: RolloutSettings = RolloutSettings()
    memory_mb: int | None = None
    descriptors: int | None = None

    def text(self) -> str:
        """Return the text of the file."""
        zones = [f'{zone} = "{region}"' for zone, region in self.regions_by_zone.items()]
        lines = [
            f'nodeName = "{self.router}"',
            f'ip = "{self.peers.host}"',
            f'zone = "{self.zone}"',
            f'region = "{self.regions_by_zone[self.zone]}"',
            f"internalPortRange = [{self.peers.port}, {self.peers.port + 1}]",
            "[zones]",
            *zones,
            "[listenAddrs]",
            f'front = "{self.callers.host}:{self.callers.port}"',
            f'ready = "{self.probes.host}:{self.probes.port}"',
            "[bounds]",
            f"graceS = {self.bounds.grace_ms / 1000}",
            f"revokeMs = {self.bounds.revoke_ms}",
            f"strictRevoke = {str(self.bounds.strict_revoke).lower()}",
            f"retryBudgetRatio = {self.bounds.retry_ratio}",
            f"retryBudgetSlack = {self.bounds.retry_slack}",
            f"budgetWindowS = {self.bounds.retry_window_ms / 1000}",
            f"coldOverage = {self.cold_overage}",
            f"quotaWindowS = {self.bounds.share_window_ms / 1000}",
            *self._rollout_lines(),
            "[platform]",
            f'address = "{self.store.host}:{self.store.port}"',
        ]
        limits = {"memoryMb": self.memory_mb, "maxFds": self.descriptors}
        stated = [f"{name} = {value}" for name, value in limits.items() if value is not None]
        if stated:
            lines += ["[limits]", *stated]
        return "\n".join(lines) + "\n"

    def _rollout_lines(self) -> list[str]:
        if not self.rollouts.is_enabled:
            return []
        return [
            'contracts = ["rollout"]',
            f"exposeShare = {self.rollouts.expose_share}",
            f"exposeSlack = {self.rollouts.expose_slack}",
            f"rollbackMs = {self.rollouts.rollback_ms}",
        ]


@frozen
class CallerRequest:
    """The platform's headers of a caller's request.

    Args:
        prompt: Numbers of prompt and output tokens; empty for requests to plain services.
        parts: Digests and token counts of the prompt's parts.
    """

    request_id: str
    key: str
    deadline_ms: int
    prompt: str = ""
    parts: str = ""

    def headers(self) -> Headers:
        """Return the headers."""
        named = {
            "Host": "site.example",
            "Attempt-Id": self.request_id,
            "Deadline-Ms": str(self.deadline_ms),
            "Authorization": f"Token {self.key}",
        }
        if self.prompt:
            named |= {"Model": "m", "Token-Usage": self.prompt, "Prompt-Prefix": self.parts}
        return [(name.encode(), value.encode()) for name, value in named.items()]


def response_seal(head: ResponseHead) -> str | None:
    """Return the value of a server's `Response-Seal` header, which identifies the answer."""
    return head.get(b"Response-Seal")


def account_from_headers(headers: dict[str, str]) -> str | None:
    """Return the account in a request's headers, whose names are in lower case."""
    return headers.get("tenant-id")


def platform_route(name: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    plain = {
        "name": name,
        "host": "site.example",
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 2_000,
        "targetLatencyMs": 1_000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "authExempt": False,
        "sessionAffinity": False,
        "streamResume": False,
        "allowedRegions": [],
    }
    return {**plain, **changes}


def platform_account(name: str, keys: list[str]) -> dict[str, Any]:
    """Return a client account of the operator's configuration."""
    return {"name": name, "apiKeys": keys, "allowedRegions": []}


def platform_pool(name: str) -> dict[str, Any]:
    """Return a model service of the operator's configuration."""
    engine = {"slots": 64, "kvCapacity": 578_286}
    return {"name": name, "coldStartS": 0, "coldPerS": 0, "engine": engine}
