"""Samples the lateness of the event loop, which controls load shedding."""

from __future__ import annotations

import asyncio

from cicadaledge.clock import clock_ms
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._load_shedder import LoadShedder
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._request_handler import RequestHandler
from cicadaledge.logs import PartLog
from cicadaledge.placing import FleetLoad

# The lateness of the event loop is sampled ten times between two probes of the load balancer.
_LOOP_SAMPLE_S = 0.1
_log = PartLog("router")


class LoopWatch:
    """Reports the lateness of the event loop to the load shedder.

    Args:
        load_shedder: Decides from the lateness whether this router sheds load.
        fleet: Load of the other routers, to which this router's lateness is compared.
        callers: Connections of callers, whose number is logged.
        request_handler: Handler of requests, whose number is logged.
        metrics: Shows whether load is being shed.
    """

    def __init__(
        self,
        load_shedder: LoadShedder,
        fleet: FleetLoad,
        callers: CallerConnections,
        request_handler: RequestHandler,
        metrics: EdgeMetrics,
    ) -> None:
        self._load_shedder = load_shedder
        self._fleet = fleet
        self._callers = callers
        self._request_handler = request_handler
        self._metrics = metrics

    async def keep_sampled(self) -> None:
        """Sample the lateness of the event loop, forever."""
        while True:
            started_ms = clock_ms()
            await asyncio.sleep(_LOOP_SAMPLE_S)
            now_ms = clock_ms()
            others = self._fleet.router_totals(now_ms)
            late_ms = now_ms - started_ms - _LOOP_SAMPLE_S * 1000
            if self._load_shedder.record_lateness(late_ms, others, now_ms):
                active = self._load_shedder.is_active
                self._metrics.set_gauge("shedding", float(active))
                _log.info(
                    (
                        "Load shedding has started; readiness is 503 to keep new callers away."
                        if active
                        else "Load shedding has ended; it no longer makes readiness 503."
                    ),
                    late_ms=round(self._load_shedder.late_ms, 1),
                    others_late_ms=round(others.mean_late_ms, 1),
                    others_shedding=others.shedding,
                    callers=len(self._callers),
                    active=self._request_handler.active,
                )
