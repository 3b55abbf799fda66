"""Settings of a router process, and the loader that validates them."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
import yaml
from attrs import field, frozen
from attrs.validators import and_, ge, gt, instance_of, le, matches_re, min_len

from cicadaledge.errors import SettingsError
from cicadaledge.settings._check import find_mistakes

T = TypeVar("T")

_NAME = matches_re(r"[a-z0-9][a-z0-9.-]{0,62}")
_PORT = and_(instance_of(int), gt(0), le(65535))


@frozen
class Address:
    """Host and port of another process."""

    host: str = field(validator=min_len(1))
    port: int = field(validator=_PORT)


@frozen
class ListenSettings:
    """Address and ports that the router listens on."""

    host: str = field(default="127.0.0.1", validator=min_len(1))
    caller_port: int = field(default=8100, validator=_PORT)
    peer_port: int = field(default=8200, validator=_PORT)


@frozen
class TimingSettings:
    """Periods and deadlines of the control protocols.

    Args:
        heartbeat_interval_ms: Heartbeat interval between routers that monitor each other or
            exchange work.
        far_heartbeat_ms: Heartbeat interval between all other routers.
        freshness_ms: Delay before a removal takes effect. A router acts as home router only while
            its latest proof of a fresh read of the log is younger than half of it.
        start_by_ms: Validity of a grant, counted from the newest time stamp of the entry router
            that the coordinator had received.
        resend_ms: Interval after which an entry router repeats the descriptor of a request that
            is still waiting.
        removal_after_ms: Silence of a router after which a member votes for its removal.
    """

    heartbeat_interval_ms: int = field(default=500, validator=ge(20))
    far_heartbeat_ms: int = field(default=10_000, validator=ge(20))
    lease_ms: int = field(default=1500, validator=ge(100))
    lease_renew_ms: int = field(default=500, validator=ge(20))
    start_by_ms: int = field(default=1000, validator=ge(50))
    freshness_ms: int = field(default=4000, validator=ge(200))
    resend_ms: int = field(default=10_000, validator=ge(100))
    removal_after_ms: int = field(default=3000, validator=ge(200))
    progress_interval_ms: int = field(default=500, validator=ge(20))
    exchange_interval_ms: int = field(default=500, validator=ge(20))
    load_poll_ms: int = field(default=500, validator=ge(20))
    log_poll_ms: int = field(default=500, validator=ge(10))
    log_timeout_ms: int = field(default=2000, validator=ge(50))
    claim_batch_ms: int = field(default=10, validator=ge(0))
    claim_window_ms: int = field(default=3_600_000, validator=ge(1000))
    snapshot_refresh_ms: int = field(default=1_800_000, validator=ge(1000))
    claim_refresh_ms: int = field(default=1_800_000, validator=ge(1000))
    poison_window_ms: int = field(default=600_000, validator=ge(1000))


@frozen
class LimitSettings:
    """Limits on callers, their requests and the answers of backend servers.

    Args:
        first_byte_timeout_ms: Time until the head of an answer, and for each event of a stream.
        idle_timeout_ms: Time for which a stream may be silent.
        answer_timeout_ms: Time for a whole answer of a service.
        answer_bytes: Size of an answer that is held whole.
        answer_memory_bytes: Memory for all such answers together.
        stream_bytes: Size of a stream; an engine that never ends one is given up.
        request_timeout_ms: Time within which a request must arrive.
        connections: Connections of callers and operators; half of the descriptors of the smallest
            VM.
    """

    body_bytes: int = field(default=1_048_576, validator=ge(1))
    header_bytes: int = field(default=32_768, validator=ge(1024))
    outcome_bytes: int = field(default=65_536, validator=ge(1))
    queue_per_account: int = field(default=2000, validator=ge(1))
    queue_timeout_ms: int = field(default=60_000, validator=ge(1))
    first_byte_timeout_ms: int = field(default=30_000, validator=ge(1))
    idle_timeout_ms: int = field(default=10_000, validator=ge(1))
    answer_timeout_ms: int = field(default=120_000, validator=ge(1))
    answer_bytes: int = field(default=4_194_304, validator=ge(1))
    answer_memory_bytes: int = field(default=33_554_432, validator=ge(1))
    stream_bytes: int = field(default=67_108_864, validator=ge(1))
    attempts: int = field(default=4, validator=ge(1))
    threads: int = field(default=96, validator=ge(4))
    request_timeout_ms: int = field(default=30_000, validator=ge(1))
    connections: int = field(default=800, validator=ge(4))


@frozen
class ShutdownSettings:
    """Timing of a graceful shutdown.

    Args:
        notice_ms: How long the router accepts requests after `/readyz` has begun to fail.
        deadline_ms: Time after which the process ends even if requests are running.
    """

    notice_ms: int = field(default=1000, validator=ge(0))
    deadline_ms: int = field(default=120_000, validator=ge(1))


@frozen
class TargetSettings:
    """Targets by which a backend server counts as warmed up."""

    first_token_ms: int = field(default=1000, validator=ge(1))
    warm_completions: int = field(default=2, validator=ge(1))


@frozen
class FairnessSettings:
    """Parameters of the fair queue.

    Args:
        max_repay_cost: Maximum weighted lead over other accounts, in cost units, that an account
            has to wait out.
        default_hint_cost: Cost assumed for requests without a hint.
        spill_margin_cost: Weighted lead at another zone above which a request is sent there.
    """

    max_repay_cost: float = field(default=20_000.0, validator=gt(0))
    default_hint_cost: int = field(default=64, validator=ge(1))
    spill_margin_cost: float = field(default=200.0, validator=ge(0))


@frozen
class RouterSettings:
    """Settings of one router process."""

    name: str = field(validator=_NAME)
    zone: str = field(validator=_NAME)
    region: str = field(validator=_NAME)
    platform: Address
    fleet_key: str = field(validator=min_len(16), repr=False)
    listen: ListenSettings = field(factory=ListenSettings)
    seeds: list[Address] = field(factory=list)
    timing: TimingSettings = field(factory=TimingSettings)
    limits: LimitSettings = field(factory=LimitSettings)
    shutdown: ShutdownSettings = field(factory=ShutdownSettings)
    targets: TargetSettings = field(factory=TargetSettings)
    fairness: FairnessSettings = field(factory=FairnessSettings)
    fault_switches: bool = False


_converter = cattrs.Converter(forbid_extra_keys=True)


def structure_settings(data: Any, kind: type[T], source: str) -> T:
    """Validate data and convert it to the settings class *kind*.

    Args:
        source: File name for error messages.

    Raises:
        SettingsError: The data has mistakes; the error lists all of them.
    """
    mistakes = find_mistakes(data, kind)
    if mistakes:
        raise SettingsError([f"{source}: {line}" for line in mistakes])
    return _converter.structure(data, kind)


def load_yaml(path: Path) -> Any:
    """Load a YAML file.

    Raises:
        SettingsError: The file cannot be read or is not valid YAML.
    """
    try:
        return yaml.safe_load(path.read_text())
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError([f"{path}: not valid YAML: {reason}"]) from error


def load_router_settings(path: Path) -> RouterSettings:
    """Load and validate the settings of a router.

    Raises:
        SettingsError: The file has mistakes; the error lists all of them.
    """
    settings = structure_settings(load_yaml(path), RouterSettings, str(path))
    mistakes = check_timing(settings.timing) + check_limits(settings.limits)
    if mistakes:
        raise SettingsError([f"{path}: {line}" for line in mistakes])
    return settings


def check_timing(timing: TimingSettings) -> list[str]:
    """Return one line for each pair of contradictory periods."""
    mistakes = []
    if timing.lease_renew_ms * 2 > timing.lease_ms:
        mistakes.append("$.timing.lease_renew_ms: expected at most half of lease_ms")
    if timing.heartbeat_interval_ms * 4 > timing.freshness_ms:
        mistakes.append("$.timing.heartbeat_interval_ms: expected at most freshness_ms / 4")
    return mistakes


def settings_to_dict(settings: Any) -> dict[str, Any]:
    """Convert settings to data that can be written as YAML."""
    return attrs.asdict(settings)


def check_limits(limits: LimitSettings) -> list[str]:
    """Return one line for each pair of contradictory limits."""
    if limits.answer_bytes > limits.answer_memory_bytes:
        return ["$.limits.answer_bytes: expected at most answer_memory_bytes"]
    return []
