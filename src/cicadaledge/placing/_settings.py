"""Settings of placing and admission."""

from __future__ import annotations

import math

from attrs import field, frozen

from cicadaledge.placing._engine_model import EngineSettings
from cicadaledge.placing._memory_room import MemorySettings
from cicadaledge.placing._speeds import SpeedSettings
from cicadaledge.routing import Call, Route


@frozen
class PlacingSettings:
    """Thresholds of placing and admission.

    Args:
        engine: Speed of the engines, before learned corrections.
        speeds: Thresholds for correcting it.
        memory: Memory kept free for requests of other routers.
        min_backlog_ms: Time for which the prompts that wait at one engine may keep it busy, unless
            load views are older. An engine with less work runs idle until routers learn that it is
            free; with more, requests wait where neither rank nor share decides who is next.
        bound_backlog_multiple: Multiple of that for requests that only one engine may take. Others
            would fill each engine up to the limit, wherever there is room, and leave them none.
        objective_backlog_fraction: Fraction of the shortest latency objective among the routes to an
            engine for which its backlog may keep it busy, as the prompts of one route delay those of
            all. The rest is for the request's own prompt. Also bounds the waits in an overload. 0 turns
            both off: with them, accounts that compete for full engines were served less evenly.
        affinity_min_tokens: From this many shared tokens on, a request goes only to engines that
            cache them.
        spill_engines: Number of engines, by rank, that may cache such a prefix while its account
            gets less than it is entitled to.
        spread_engines: Number of engines, by rank, among which any other request goes to the one
            with a short predicted time; as many others are tried if these are full.
        prefix_slack_ms: Such a request goes to the first of these engines by rank whose predicted
            time exceeds the shortest one by at most this much. Callers do not notice it in the time
            to a first token, and it is less than `region_crossing_ms`, so that requests do not
            leave their region for a cached part.
        region_crossing_ms: Added to the predicted time for a server in another region.
        throttle_start_multiple: Multiple of its share up to which an account is not throttled.
        throttle_full_multiple: Multiple of its share from which an account's part of the backlog
            shrinks in inverse proportion.
        throttled_prefill_fraction: Fraction of the backlog up to which an account that asks for
            more than its share may add to it, so that others find room.
        over_share_prefill_fraction: The same for an account at `throttle_full_multiple`.
        over_share_running_fraction: Smallest fraction of an engine's slots that is allowed to an
            account within `evenness_threshold`. A running request slows others by only a hundredth;
            its prefill delays them.
        evenness_threshold: Multiple of the rate of the least served throttled account from which an
            account may run fewer requests, so that none gets twice as much.
        evenness_exponent: Exponent by which the allowed requests fall beyond that threshold.
        cold_capacity_fraction: Fraction of a cold server's capacity that the fleet uses.
        cold_overage: Multiple of a cold server's capacity that no server may exceed, as one can
            become cold unnoticed.
        cold_slack: Requests per second allowed in addition to that multiple.
        settle_ms: Age from which a server is assumed to cache the parts for which it ranks first.
        min_retry_ms: Shortest pause before a refused request may be retried.
        absent_retry_ms: Such a pause while there is no server at all: new ones are announced within
            about a heartbeat.
    """

    engine: EngineSettings = field(factory=EngineSettings)
    speeds: SpeedSettings = field(factory=SpeedSettings)
    memory: MemorySettings = field(factory=MemorySettings)
    min_backlog_ms: float = 200.0
    bound_backlog_multiple: float = 2.0
    objective_backlog_fraction: float = 0.0
    affinity_min_tokens: int = 1_000
    spill_engines: int = 4
    spread_engines: int = 9
    prefix_slack_ms: float = 40.0
    region_crossing_ms: float = 60.0
    throttle_start_multiple: float = 0.9
    throttle_full_multiple: float = 1.5
    throttled_prefill_fraction: float = 0.35
    over_share_prefill_fraction: float = 0.3
    over_share_running_fraction: float = 0.6
    evenness_threshold: float = 1.5
    evenness_exponent: float = 4.0
    cold_capacity_fraction: float = 0.8
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    settle_ms: float = 6_000.0
    min_retry_ms: float = 150.0
    absent_retry_ms: float = 1_000.0

    def max_backlog_ms(
        self, max_view_age_ms: float, objective_ms: float = 0.0, *, is_bound: bool = False
    ) -> float:
        """Return the limit on the time for which waiting prompts may keep an engine busy.

        Args:
            max_view_age_ms: Largest age of the load views.
            objective_ms: Shortest latency objective among the requests of the engine; 0 for none.
            is_bound: Whether the request may go to no other engine.
        """
        limit_ms = max(self.min_backlog_ms, max_view_age_ms)
        if objective_ms > 0 and self.objective_backlog_fraction > 0:
            # Most views are half as old as the oldest; with a shorter backlog engines run idle.
            shortest_ms = max(self.min_backlog_ms, max_view_age_ms / 2)
            objective_limit_ms = objective_ms * self.objective_backlog_fraction
            limit_ms = min(limit_ms, max(shortest_ms, objective_limit_ms))
        return limit_ms * self.bound_backlog_multiple if is_bound else limit_ms

    def objective_start_ms(
        self, route: Route, call: Call, work_ms: float, served_fraction: float
    ) -> float:
        """Return until when a request must be sent to begin within its route's objective.

        It is infinite without the bound, and for an account that gets less than it is entitled to:
        its requests wait while their callers do, as refusing them sooner would take even more.

        Args:
            work_ms: Predicted time to the first token on an engine without other load.
            served_fraction: What the account gets, as a fraction of what it is entitled to.
        """
        has_bound = route.latency_target_ms > 0 and self.objective_backlog_fraction > 0
        if not has_bound or served_fraction < 1.0:
            return math.inf
        backlog_ms = route.latency_target_ms * self.objective_backlog_fraction
        return call.started_ms + route.latency_target_ms - backlog_ms - work_ms

    def max_unread_tokens(self, max_view_age_ms: float) -> float:
        """Return that limit in prompt tokens."""
        return self.max_backlog_ms(max_view_age_ms) * self.engine.prefill_tokens_per_ms
