"""Chooses the backend server of a request, or refuses it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import field, frozen

from cicadaledge.placing._choice import Chosen, Limit, Refused
from cicadaledge.placing._engine import EngineModel, EngineSettings
from cicadaledge.placing._failing import FailingServers
from cicadaledge.placing._health import ServerHealth
from cicadaledge.placing._load import LoadTracker, Placement
from cicadaledge.placing._ranking import EngineRanking
from cicadaledge.placing._shares import ShareUse
from cicadaledge.placing._speeds import EngineSpeeds, ServiceSpeeds, SpeedSettings
from cicadaledge.placing._totals import ServerTotals
from cicadaledge.routing import Call, Route, ServerDirectory, ServerEntry, Service

_IDLE = ServerTotals()
_MOSTLY_READ_PART = 0.7  # of a prompt; the rest may be believed to be kept by the engine


@frozen
class PlacingSettings:
    """Thresholds of placing and admission.

    Args:
        engine: Speed of the engines, before anything is learnt of them.
        speeds: How much evidence it takes to correct it.
        running_limit: Requests that one engine runs at once, of all routers. More of them
            slow every stream down: 27 served most on the heaviest days, 20 and 64 less.
        aim_share: Part of a route's objective that the predicted first token may take.
        affine_tokens: Shared tokens from which a request goes only where they are kept.
        spill_engines: Engines, first ones by rank, that may keep such a prefix while its account
            gets far less than its due.
        spread_engines: Engines, first ones by rank, of which any other request goes where its
            prompt is read soonest; as many others are asked if these are full.
        region_crossing_ms: Added to the predicted time for a server of another region.
        fair_low: Use of share up to which an account is not held back.
        fair_high: Use of share from which the time for reading falls in inverse proportion.
        held_back_reading: Part of that time open to any account that asks more than its share:
            others find room beside it, and its answers come in time.
        beyond_share: Part of the time for reading prompts open to an account at `fair_high`.
        beyond_places: Least part of `running_limit` open to any account: a request that runs
            slows others by a hundredth, only reading its prompt holds them up.
        even_slack: How much more than the least served account that is held back another one
            may get before fewer places are open to it; none may get twice as much.
        even_exponent: Power with which places close beyond `even_slack`.
        cold_part: Part of the rate that a cold server bears that the fleet uses.
        cold_overage: Multiple of that rate that no server may get: it can turn cold unnoticed.
        cold_slack: Requests a second beside that multiple.
        settle_ms: Age from which a server is believed to keep the parts it is first for.
        short_retry_ms: Least pause before a refused request may come again.
        long_retry_ms: Longest such pause.
    """

    engine: EngineSettings = field(factory=EngineSettings)
    speeds: SpeedSettings = field(factory=SpeedSettings)
    running_limit: int = 27
    aim_share: float = 0.7
    affine_tokens: int = 1_000
    spill_engines: int = 4
    spread_engines: int = 9
    region_crossing_ms: float = 60.0
    fair_low: float = 0.9
    fair_high: float = 1.5
    held_back_reading: float = 0.35
    beyond_share: float = 0.3
    beyond_places: float = 0.6
    even_slack: float = 1.5
    even_exponent: float = 4.0
    cold_part: float = 0.8
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    settle_ms: float = 6_000.0
    short_retry_ms: float = 150.0
    long_retry_ms: float = 1_000.0


@frozen
class _Openness:
    """Parts of the bounds that are open to an account."""

    reading: float
    places: float


class Placer:
    """Decides for one router, with the fleet's load as far as it is known.

    Args:
        settings: Thresholds.
        region_of: Returns the region of an availability zone.
        own_region: Region of this router.
    """

    def __init__(
        self,
        settings: PlacingSettings,
        directory: ServerDirectory,
        load: LoadTracker,
        health: ServerHealth,
        region_of: Callable[[str], str],
        own_region: str,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._load = load
        self._health = health
        self._region_of = region_of
        self._own_region = own_region
        self._engines: dict[str, EngineModel] = {}
        self._ranking = EngineRanking(directory)
        self._speeds = EngineSpeeds(settings.speeds, load)
        self._failing = FailingServers(load)
        self._turn = 0

    def choose(
        self,
        call: Call,
        route: Route,
        service: Service,
        regions: frozenset[str] | None,
        tried: set[str],
        use: ShareUse,
        now_ms: float,
    ) -> Chosen | Refused:
        """Return where to send a request now.

        Args:
            regions: Regions whose servers may run it, or None for all.
            tried: Servers that have had it already.
            use: What its account gets.
        """
        allowed = self._allowed(service, regions, tried)
        usable = self._candidates(service, allowed, now_ms)
        if not usable:
            return self._none_usable(allowed, now_ms)
        if service.engine is None:
            return self._choose_plain(usable.values(), service, now_ms)
        return self._choose_engine(call, route, service, usable, use, now_ms)

    def record_sent(self, call: Call, chosen: Chosen, now_ms: float) -> None:
        """Count a request that is about to be sent."""
        self._load.record_start(chosen.placement, now_ms)
        self._health.record_sent(chosen.server.server, now_ms)
        if call.prompt_tokens:
            self._engine(chosen.server.server).record_parts(call.shared_parts)

    def _allowed(
        self, service: Service, regions: frozenset[str] | None, tried: set[str]
    ) -> dict[str, ServerEntry]:
        """Return the servers that may run a request at all."""
        every = self._directory.usable_by_name(service.name)
        if regions is None and not tried:
            return every
        return {
            name: entry
            for name, entry in every.items()
            if name not in tried and (regions is None or self._region_of(entry.zone) in regions)
        }

    def _candidates(
        self, service: Service, allowed: dict[str, ServerEntry], now_ms: float
    ) -> dict[str, ServerEntry]:
        """Return those that want requests; without the dubious ones, if others are left."""
        every = self._directory.usable_by_name(service.name)
        paused = self._directory.paused(now_ms)
        if paused:
            allowed = {name: entry for name, entry in allowed.items() if name not in paused}
        failing = self._failing.excluded_servers(service.name, every, now_ms)
        avoided = self._health.ejected(now_ms) | self._directory.unconfirmed() | failing
        # The last resort only: another router's word alone must not empty a service.
        avoided |= {
            one.server
            for one in self._load.departing(now_ms)
            if one.server in allowed and allowed[one.server].born_ms == one.born_ms
        }
        if not avoided:
            return allowed
        sound = {name: entry for name, entry in allowed.items() if name not in avoided}
        return sound or allowed

    def _none_usable(self, allowed: dict[str, ServerEntry], now_ms: float) -> Refused:
        settings = self._settings
        ends_ms = [self._directory.paused_until_ms(name) for name in allowed]
        if not ends_ms:
            return Refused("no server", settings.long_retry_ms)
        opens_ms = min(ends_ms)
        retry_ms = min(max(opens_ms - now_ms, settings.short_retry_ms), settings.long_retry_ms)
        return Refused("servers ask for a pause", retry_ms, available_from_ms=opens_ms)

    def _choose_plain(
        self, usable: Iterable[ServerEntry], service: Service, now_ms: float
    ) -> Chosen | Refused:
        best: tuple[float, ServerEntry] | None = None
        for entry in usable:
            if not self._within_rate(entry, service, now_ms):
                continue
            totals = self._load.totals(entry.server, now_ms)
            load = totals.running / max(entry.slots, 1)
            score = load + (0.0 if self._is_near(entry) else 1.0)
            if load < 2.0 and (best is None or score < best[0]):
                best = (score, entry)
        if best is None:
            return Refused("all servers are full", self._settings.short_retry_ms)
        return Chosen(best[1], Placement(best[1].server, 0, 0), 0.0)

    def _choose_engine(
        self,
        call: Call,
        route: Route,
        service: Service,
        usable: dict[str, ServerEntry],
        use: ShareUse,
        now_ms: float,
    ) -> Chosen | Refused:
        ranked = self._ranking.ranked(call, service.name, usable)
        first = ranked[0]
        every = self._directory.usable_by_name(service.name)
        speeds = self._speeds.service_speeds(service.name, every, now_ms)
        shared_tokens = sum(part.tokens for part in call.shared_parts)
        if shared_tokens >= self._settings.affine_tokens:
            ranked = self._homes(ranked, speeds, now_ms)
            ranked = ranked[: self._settings.spill_engines if use.is_underserved else 1]
            compared = 1
        else:
            ranked = self._compared(ranked)
            compared = self._settings.spread_engines
        openness = self._openness(use)
        best: Chosen | None = None
        first_limit: Limit | None = None
        for place, entry in enumerate(ranked):
            if place >= compared and best is not None:
                break
            weighed = self._weigh(
                call, route, service, entry, entry is first, openness, speeds, now_ms
            )
            if isinstance(weighed, Limit):
                first_limit = first_limit or weighed
            elif best is None or weighed.predicted_ms < best.predicted_ms:
                best = weighed
        if best is not None:
            return best
        totals = self._load.totals(ranked[0].server, now_ms)
        retry_after_ms = self._retry_after_ms(totals)
        return Refused("engines are full", retry_after_ms, ranked[0].server, totals, first_limit)

    def _homes(
        self, ranked: list[ServerEntry], speeds: ServiceSpeeds, now_ms: float
    ) -> list[ServerEntry]:
        """Return the engines that may keep a prefix: slow and cold ones only if all are."""
        sound = [
            entry
            for entry in ranked
            if entry.server not in speeds.slowness
            and self._directory.cold_until_ms(entry.server) <= now_ms
        ]
        return sound or ranked

    def _compared(self, ranked: list[ServerEntry]) -> list[ServerEntry]:
        """Return the first engines by rank, and as many of the others in turn.

        A request that waits has seen most of them after a few calls.
        """
        count = self._settings.spread_engines
        if len(ranked) <= 2 * count:
            return ranked
        others = len(ranked) - count
        self._turn = (self._turn + count) % others
        begin = count + self._turn
        return ranked[:count] + (ranked[begin:] + ranked[count:])[:count]

    def _weigh(
        self,
        call: Call,
        route: Route,
        service: Service,
        entry: ServerEntry,
        is_first: bool,
        openness: _Openness,
        speeds: ServiceSpeeds,
        now_ms: float,
    ) -> Chosen | Limit:
        """Return the choice of one server, or the bound that keeps the request from it."""
        assert service.engine is not None
        totals = self._load.totals(entry.server, now_ms)
        limit = self._exceeded(call, service, totals, openness)
        if limit is not None:
            return limit
        settled = now_ms - self._directory.first_seen_ms(entry.server) > self._settings.settle_ms
        engine = self._engine(entry.server)
        unread = engine.unread_tokens(
            call.prompt_tokens, call.shared_parts, assume_cached=is_first and settled
        )
        expected_ms = engine.first_token_ms(totals, unread)
        alone_ms = engine.first_token_ms(_IDLE, unread)
        if not self._is_near(entry):
            expected_ms += self._settings.region_crossing_ms
        factor = speeds.factor * speeds.slowness.get(entry.server, 1.0)
        predicted_ms = expected_ms * factor
        waiting_ms = predicted_ms - alone_ms * factor
        bound_ms = route.latency_target_ms * self._settings.aim_share * openness.reading
        if predicted_ms > bound_ms and waiting_ms > bound_ms * 0.35:
            return Limit.READING
        if not self._within_rate(entry, service, now_ms):
            return Limit.RATE
        context = call.prompt_tokens + call.output_tokens
        # Where much is only believed to be kept, a late first token tells of that, not of speed.
        tells_speed = unread >= call.prompt_tokens * _MOSTLY_READ_PART
        placement = Placement(entry.server, unread, context, expected_ms if tells_speed else 0.0)
        return Chosen(entry, placement, predicted_ms, factor)

    def _exceeded(
        self, call: Call, service: Service, totals: ServerTotals, openness: _Openness
    ) -> Limit | None:
        """Return the bound on running requests that one more would exceed."""
        assert service.engine is not None
        limit = min(self._settings.running_limit, service.engine.slots)
        if totals.running >= max(1.0, limit * openness.places):
            return Limit.PLACES
        memory = service.engine.memory_tokens * self._settings.engine.memory_share
        context = totals.context_tokens + call.prompt_tokens + call.output_tokens
        return Limit.MEMORY if context > memory else None

    def _within_rate(self, entry: ServerEntry, service: Service, now_ms: float) -> bool:
        """Return whether one more request stays below what the server bears when cold."""
        if service.cold_per_s <= 0:
            return True
        settings = self._settings
        if self._directory.cold_until_ms(entry.server) > now_ms:
            part_per_s = service.cold_per_s * settings.cold_part
            return self._load.allows_request_by_quota(entry.server, part_per_s, now_ms)
        bound_per_s = service.cold_per_s * settings.cold_overage + settings.cold_slack
        return self._load.allows_request(entry.server, bound_per_s, now_ms)

    def _openness(self, use: ShareUse) -> _Openness:
        """Return the part of the bounds that is open to an account."""
        settings = self._settings
        usual = settings.held_back_reading if use.admitted_fraction < 1.0 else 1.0
        if use.share_multiple <= settings.fair_low:
            return _Openness(usual, 1.0)
        if use.share_multiple >= settings.fair_high:
            reading = settings.beyond_share * settings.fair_high / use.share_multiple
        else:
            along = (use.share_multiple - settings.fair_low) / (
                settings.fair_high - settings.fair_low
            )
            reading = 1.0 - along * (1.0 - settings.beyond_share)
        evenness = (
            min(1.0, settings.even_slack / use.least_served_multiple) ** settings.even_exponent
        )
        return _Openness(min(usual, reading), max(reading, settings.beyond_places * evenness))

    def _retry_after_ms(self, totals: ServerTotals) -> float:
        """Return when half of the prompts that wait at an engine will have been read."""
        wait_ms = totals.unread_tokens / self._settings.engine.read_tokens_per_ms / 2
        return min(max(wait_ms, self._settings.short_retry_ms), self._settings.long_retry_ms)

    def _is_near(self, entry: ServerEntry) -> bool:
        return self._region_of(entry.zone) == self._own_region

    def forget_servers(self, known: set[str]) -> None:
        """Drop what was believed of servers that are gone."""
        for server in self._engines.keys() - known:
            del self._engines[server]

    def _engine(self, server: str) -> EngineModel:
        engine = self._engines.get(server)
        if engine is None:
            engine = self._engines[server] = EngineModel(self._settings.engine)
        return engine
