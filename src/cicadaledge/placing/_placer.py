"""Chooses the backend server for a request, or refuses the request."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from attrs import frozen

from cicadaledge.placing._choice import Chosen, Limit, Refused, first_within
from cicadaledge.placing._engine_model import EngineModel
from cicadaledge.placing._failing import FailingServers
from cicadaledge.placing._health import ServerHealth
from cicadaledge.placing._load_tracker import LoadTracker, Placement
from cicadaledge.placing._memory_room import MemoryRoom
from cicadaledge.placing._plain_servers import PlainCandidate, choose_by_free_slots
from cicadaledge.placing._ranking import EngineRanking
from cicadaledge.placing._server_stats import ServerTotals
from cicadaledge.placing._settings import PlacingSettings
from cicadaledge.placing._shares import ShareUse
from cicadaledge.placing._speeds import EngineSpeeds, ServiceSpeeds
from cicadaledge.routing import Call, Route, ServerDirectory, ServerEntry, Service

_NO_LOAD = ServerTotals()
# A server that turned a request away as full gets none from this router for this time, in which
# another of its requests may end.
_FULL_MS = 100.0
# The time to a first token counts as a measure of an engine's speed only if at least this fraction
# of the prompt is to be processed. Otherwise it depends mostly on whether the engine has cached the
# parts that it is assumed to have cached.
_MIN_UNREAD_FRACTION = 0.7


@frozen
class _AllowedFractions:
    """Fractions of the limits that an account may use.

    Args:
        backlog: Fraction of the limit on prompt tokens that wait to be processed.
        requests: Fraction of the limits on running requests and on their rate.
    """

    backlog: float
    requests: float

    def capped(self, cap: float) -> _AllowedFractions:
        """Return the fractions, limited to *cap*."""
        return _AllowedFractions(min(self.backlog, cap), min(self.requests, cap))


class Placer:
    """Chooses servers for one router, based on the known load of the fleet.

    Args:
        settings: Thresholds.
        directory: The servers.
        load: Load and outcomes of the servers.
        health: Servers that are ejected.
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
        self._ranking = EngineRanking(directory, load.speed_reports)
        self._speeds = EngineSpeeds(settings.speeds, load)
        self._failing = FailingServers(load)
        self._memory_room = MemoryRoom(settings.memory, load)
        self._rotation = 0
        self._random = random.Random()
        self._full_until_ms: dict[str, float] = {}

    def choose(
        self,
        call: Call,
        route: Route,
        service: Service,
        regions: frozenset[str] | None,
        tried: set[str],
        use: ShareUse,
        now_ms: float,
        suspect_parts: tuple[str, ...] = (),
    ) -> Chosen | Refused:
        """Return where to send a request now.

        Args:
            regions: Regions whose servers may run it, or None for all.
            tried: Servers to which it has been sent before.
            use: How much its account gets.
            suspect_parts: Parts of its prompt that are suspected of crashing servers.
        """
        allowed = self._allowed(service, regions, tried)
        usable = self._candidates(service, allowed, now_ms)
        if not usable:
            return self._refuse_unusable(allowed, now_ms)
        if service.engine is None:
            return self._choose_plain(usable.values(), service, now_ms)
        return self._choose_engine(call, route, service, usable, use, now_ms, suspect_parts)

    def record_sent(self, call: Call, chosen: Chosen, now_ms: float) -> None:
        """Record a request that is about to be sent."""
        self._load.record_start(chosen.placement, now_ms)
        self._health.record_sent(chosen.server.server, now_ms)
        if call.prompt_tokens:
            self._engine(chosen.server.server).record_parts(call.shared_parts)
            self._memory_room.record_sent(chosen.server.server, call, now_ms)

    def record_full(self, server: str, now_ms: float) -> None:
        """Record that a server turned a request away because it was full."""
        self._full_until_ms[server] = now_ms + _FULL_MS

    def bound_engine(
        self,
        call: Call,
        service: Service,
        regions: frozenset[str] | None,
        now_ms: float,
        excluded: frozenset[str] = frozenset(),
        suspect_parts: tuple[str, ...] = (),
    ) -> str:
        """Return the engine that a request goes to while it has room there, or "" for any.

        Args:
            excluded: Servers of versions that it must not go to.
            suspect_parts: Parts of its prompt that are suspected of crashing servers.
        """
        if service.engine is None or not self._has_affinity(call):
            return ""
        usable = self._candidates(service, self._allowed(service, regions, set(excluded)), now_ms)
        ranked = self._ranking.ranked(call, service.name, usable, now_ms, suspect_parts)
        all_usable = self._directory.usable_by_name(service.name)
        speeds = self._speeds.service_speeds(service.name, all_usable, now_ms)
        return self._prefix_engines(ranked, speeds, now_ms)[0].server if ranked else ""

    def _has_affinity(self, call: Call) -> bool:
        shared_tokens = sum(part.tokens for part in call.shared_parts)
        return shared_tokens >= self._settings.affinity_min_tokens

    def _allowed(
        self, service: Service, regions: frozenset[str] | None, tried: set[str]
    ) -> dict[str, ServerEntry]:
        """Return the usable servers that are in the allowed regions and have not been tried."""
        all_usable = self._directory.usable_by_name(service.name)
        if regions is None and not tried:
            return all_usable
        return {
            name: entry
            for name, entry in all_usable.items()
            if name not in tried and (regions is None or self._region_of(entry.zone) in regions)
        }

    def _candidates(
        self, service: Service, allowed: dict[str, ServerEntry], now_ms: float
    ) -> dict[str, ServerEntry]:
        """Return the allowed servers that accept requests, without doubtful ones if possible."""
        all_usable = self._directory.usable_by_name(service.name)
        paused = self._directory.paused(now_ms) | self._full(now_ms)
        if paused:
            allowed = {name: entry for name, entry in allowed.items() if name not in paused}
        failing = self._failing.excluded_servers(service.name, all_usable, now_ms)
        doubtful = self._health.ejected(now_ms) | self._directory.unconfirmed() | failing
        # Servers that told only another router that they are shutting down are used only if no
        # others are left: a report by another router alone must not empty a service.
        doubtful |= {
            one.server
            for one in self._load.departing(now_ms)
            if one.server in allowed and allowed[one.server].born_ms == one.born_ms
        }
        if not doubtful:
            return allowed
        preferred = {name: entry for name, entry in allowed.items() if name not in doubtful}
        return preferred or allowed

    def _full(self, now_ms: float) -> set[str]:
        """Return the servers that turned a request away a moment ago."""
        for server, until_ms in list(self._full_until_ms.items()):
            if until_ms <= now_ms:
                del self._full_until_ms[server]
        return set(self._full_until_ms)

    def _refuse_unusable(self, allowed: dict[str, ServerEntry], now_ms: float) -> Refused:
        settings = self._settings
        ends_ms = [
            max(self._directory.paused_until_ms(name), self._full_until_ms.get(name, 0.0))
            for name in allowed
        ]
        if not ends_ms:
            return Refused("no server", settings.absent_retry_ms)
        available_from_ms = min(ends_ms)
        retry_ms = max(available_from_ms - now_ms, settings.min_retry_ms)
        return Refused(
            "servers are full or ask for a pause", retry_ms, available_from_ms=available_from_ms
        )

    def _choose_plain(
        self, usable: Iterable[ServerEntry], service: Service, now_ms: float
    ) -> Chosen | Refused:
        candidates = []
        for entry in usable:
            free = max(entry.slots, 1) - self._load.totals(entry.server, now_ms).running
            if free > 0 and self._rate_allows_request(entry, service, now_ms):
                candidates.append(PlainCandidate(entry, free, self._is_in_own_region(entry)))
        server = choose_by_free_slots(candidates, self._random)
        if server is None:
            return Refused("all servers are full", self._settings.min_retry_ms)
        return Chosen(server, Placement(server.server, 0, 0), 0.0)

    def _choose_engine(
        self,
        call: Call,
        route: Route,
        service: Service,
        usable: dict[str, ServerEntry],
        use: ShareUse,
        now_ms: float,
        suspect_parts: tuple[str, ...],
    ) -> Chosen | Refused:
        ranked = self._ranking.ranked(call, service.name, usable, now_ms, suspect_parts)
        first = ranked[0]
        all_usable = self._directory.usable_by_name(service.name)
        speeds = self._speeds.service_speeds(service.name, all_usable, now_ms)
        is_bound = has_affinity = self._has_affinity(call)
        if has_affinity:
            ranked = self._prefix_engines(ranked, speeds, now_ms)
            ranked = ranked[: self._settings.spill_engines if use.served_fraction < 1.0 else 1]
            min_evaluated = 1
        else:
            ranked = self._spread_candidates(ranked)
            min_evaluated = self._settings.spread_engines
        allowed_fractions = self._allowed_fractions(use)
        # An account that gets less than it is entitled to may fill engines beyond the objective.
        objective_ms = service.shortest_objective_ms if use.served_fraction >= 1.0 else 0.0
        choices: list[Chosen] = []
        first_limit: Limit | None = None
        for index, entry in enumerate(ranked):
            if index >= min_evaluated and choices:
                break
            if index == min_evaluated and has_affinity:
                # Engines keep room for the prompts that are bound to them: the more an account
                # lacks, the more of another engine it may use.
                allowed_fractions = allowed_fractions.capped(1.0 - use.served_fraction)
                is_bound = False
            result = self._evaluate(
                call,
                route,
                service,
                entry,
                entry is first and not suspect_parts,
                is_bound,
                allowed_fractions,
                objective_ms,
                speeds,
                now_ms,
            )
            if isinstance(result, Limit):
                first_limit = first_limit or result
            else:
                choices.append(result)
        if choices:
            return first_within(choices, self._settings.prefix_slack_ms)
        preferred = ranked[0].server
        totals = self._load.totals(preferred, now_ms)
        unread = self._engine(preferred).unread_tokens(call.prompt_tokens, call.shared_parts)
        return Refused(
            "engines are full",
            self._retry_after_ms(totals),
            preferred,
            totals,
            first_limit,
            work_ms=self._engine(preferred).first_token_ms(_NO_LOAD, unread) * speeds.factor,
        )

    def _prefix_engines(
        self, ranked: list[ServerEntry], speeds: ServiceSpeeds, now_ms: float
    ) -> list[ServerEntry]:
        """Return the engines that may cache a prefix; slow and cold ones only if all are."""
        preferred = [
            entry
            for entry in ranked
            if entry.server not in speeds.slowness
            and self._directory.cold_until_ms(entry.server) <= now_ms
        ]
        return preferred or ranked

    def _spread_candidates(self, ranked: list[ServerEntry]) -> list[ServerEntry]:
        """Return the first engines by rank, and as many of the others in rotation.

        After a few calls, most engines have been considered for a request that waits.
        """
        count = self._settings.spread_engines
        if len(ranked) <= 2 * count:
            return ranked
        other_count = len(ranked) - count
        self._rotation = (self._rotation + count) % other_count
        start = count + self._rotation
        return ranked[:count] + (ranked[start:] + ranked[count:])[:count]

    def _evaluate(
        self,
        call: Call,
        route: Route,
        service: Service,
        entry: ServerEntry,
        is_first: bool,
        is_bound: bool,
        allowed_fractions: _AllowedFractions,
        objective_ms: float,
        speeds: ServiceSpeeds,
        now_ms: float,
    ) -> Chosen | Limit:
        """Return the choice of one server, or the limit that the request would exceed there.

        Args:
            is_first: Whether the server ranks first for the request's shared prompt parts.
            is_bound: Whether the request may go nowhere else.
            objective_ms: Latency objective that bounds the backlog; 0 for none.
        """
        assert service.engine is not None
        totals = self._load.totals(entry.server, now_ms)
        limit = self._exceeded_limit(call, service, totals, allowed_fractions)
        if limit is not None:
            return limit
        is_settled = now_ms - self._directory.first_seen_ms(entry.server) > self._settings.settle_ms
        engine = self._engine(entry.server)
        unread = engine.unread_tokens(
            call.prompt_tokens, call.shared_parts, assume_cached=is_first and is_settled
        )
        reported = self._load.speed_reports.factor(entry.server, now_ms)
        expected_ms = engine.first_token_ms(totals, unread) * reported
        unloaded_ms = engine.first_token_ms(_NO_LOAD, unread) * reported
        factor = speeds.factor * speeds.slowness.get(entry.server, 1.0)
        backlog_ms = (expected_ms - unloaded_ms) * factor
        if not self._is_in_own_region(entry):
            expected_ms += self._settings.region_crossing_ms
        predicted_ms = expected_ms * factor
        max_backlog_ms = self._settings.max_backlog_ms(
            self._load.max_view_age_ms, objective_ms, is_bound=is_bound
        )
        if backlog_ms > max_backlog_ms * allowed_fractions.backlog:
            return Limit.READING
        # Nobody can tell for a prompt on an idle engine that it takes too long before it is tried.
        if backlog_ms > 0 and now_ms + predicted_ms > route.answer_due_ms(call):
            return Limit.TIME
        if not self._rate_allows_request(entry, service, now_ms, allowed_fractions.requests):
            return Limit.RATE
        memory_tokens = service.engine.memory_tokens
        if not self._memory_room.has_room(
            entry.server, call, memory_tokens, totals, now_ms, is_settled=is_settled
        ):
            return Limit.MEMORY
        context = call.prompt_tokens + call.output_tokens
        # If much is assumed to be cached, a late first token may only show that it was not.
        measures_speed = unread >= call.prompt_tokens * _MIN_UNREAD_FRACTION
        placement = Placement(entry.server, unread, context, expected_ms if measures_speed else 0.0)
        return Chosen(entry, placement, predicted_ms, factor)

    def _max_backlog_ms(self) -> float:
        return self._settings.max_backlog_ms(self._load.max_view_age_ms)

    def _exceeded_limit(
        self,
        call: Call,
        service: Service,
        totals: ServerTotals,
        allowed_fractions: _AllowedFractions,
    ) -> Limit | None:
        """Return the limit that one more running request would exceed, or None."""
        assert service.engine is not None
        allowed_slots = service.engine.slots * allowed_fractions.requests
        if totals.running >= max(1.0, allowed_slots):
            return Limit.PLACES
        context = totals.context_tokens + call.prompt_tokens + call.output_tokens
        return (
            Limit.MEMORY if context > self._settings.engine.running_tokens(service.engine) else None
        )

    def _rate_allows_request(
        self,
        entry: ServerEntry,
        service: Service,
        now_ms: float,
        allowed_fraction: float = 1.0,
    ) -> bool:
        """Return whether the server's rate limit allows one more request.

        A cold server gets less than it can serve. Any other gets little more than it could serve
        if it became cold.

        Args:
            allowed_fraction: Fraction of the limit that the request's account may use up.
        """
        if service.cold_per_s <= 0:
            return True
        settings = self._settings
        if self._directory.cold_until_ms(entry.server) > now_ms:
            cold_limit_per_s = service.cold_per_s * settings.cold_capacity_fraction
            return self._load.allows_request_by_quota(entry.server, cold_limit_per_s, now_ms)
        limit_per_s = service.cold_per_s * settings.cold_overage + settings.cold_slack
        return self._load.allows_request(entry.server, limit_per_s * allowed_fraction, now_ms)

    def _allowed_fractions(self, use: ShareUse) -> _AllowedFractions:
        """Return the fractions of the limits that an account may use."""
        settings = self._settings
        default_fraction = (
            settings.throttled_prefill_fraction if use.admitted_fraction < 1.0 else 1.0
        )
        if use.share_multiple <= settings.throttle_start_multiple:
            return _AllowedFractions(default_fraction, 1.0)
        if use.share_multiple >= settings.throttle_full_multiple:
            time_fraction = (
                settings.over_share_prefill_fraction
                * settings.throttle_full_multiple
                / use.share_multiple
            )
        else:
            position = (use.share_multiple - settings.throttle_start_multiple) / (
                settings.throttle_full_multiple - settings.throttle_start_multiple
            )
            time_fraction = 1.0 - position * (1.0 - settings.over_share_prefill_fraction)
        evenness = (
            min(1.0, settings.evenness_threshold / use.least_served_multiple)
            ** settings.evenness_exponent
        )
        return _AllowedFractions(
            min(default_fraction, time_fraction),
            max(time_fraction, settings.over_share_running_fraction * evenness),
        )

    def _retry_after_ms(self, totals: ServerTotals) -> float:
        """Return the time in which an engine works off what keeps it from taking more prompts."""
        waiting_ms = totals.unread_tokens / self._settings.engine.prefill_tokens_per_ms
        return max(waiting_ms - self._max_backlog_ms(), self._settings.min_retry_ms)

    def _is_in_own_region(self, entry: ServerEntry) -> bool:
        return self._region_of(entry.zone) == self._own_region

    def retain_servers(self, kept: set[str]) -> None:
        """Drop the engine models of servers that are not in *kept*."""
        for server in self._engines.keys() - kept:
            del self._engines[server]
        self._load.speed_reports.retain_servers(kept)
        self._memory_room.retain_servers(kept)

    def _engine(self, server: str) -> EngineModel:
        engine = self._engines.get(server)
        if engine is None:
            engine = self._engines[server] = EngineModel(self._settings.engine)
        return engine
