"""Injects the faults of an experiment on schedule."""

from __future__ import annotations

import signal
import threading
import time
from typing import Any

import urllib3

from cicadaledge.loadtool._experiment import FaultEvent
from cicadaledge.loadtool._launcher import Launcher


class FaultInjector(threading.Thread):
    """Injects faults from a separate thread.

    The action `kill-router` is carried out by the method `_kill_router`, and so on.

    Args:
        launcher: The running deployment.
        events: Faults; their times count from the start of the thread.
    """

    def __init__(self, launcher: Launcher, events: list[FaultEvent]) -> None:
        super().__init__(daemon=True)
        self.outcomes: list[dict[str, Any]] = []
        self._launcher = launcher
        self._events = sorted(events, key=lambda event: event.at_s)
        self._killed: list[str] = []

    def run(self) -> None:
        """Inject all faults in the order of their times."""
        begin = time.monotonic()
        for event in self._events:
            time.sleep(max(0.0, begin + event.at_s - time.monotonic()))
            self.carry_out(event)

    def carry_out(self, event: FaultEvent) -> None:
        """Inject one fault and record its time and result."""
        result: Any = None
        try:
            result = getattr(self, "_" + event.action.replace("-", "_"))(event)
        except (urllib3.exceptions.HTTPError, KeyError, OSError, StopIteration) as error:
            result = repr(error)
        self.outcomes.append(
            {
                "at_ms": time.time_ns() // 1_000_000,
                "action": event.action,
                "target": event.target,
                "result": result,
            }
        )

    def _live_router(self) -> str:
        return next(name for name in self._launcher.routers if name not in self._killed)

    def _drain_zone(self, event: FaultEvent) -> Any:
        intent = {"kind": "drain-zone", "target": event.target}
        return self._launcher.carry_out(intent, self._live_router())

    def _restore_zone(self, event: FaultEvent) -> Any:
        intent = {"kind": "restore-zone", "target": event.target}
        return self._launcher.carry_out(intent, self._live_router())

    def _log_outage(self, event: FaultEvent) -> Any:
        return self._launcher.platform("/standin/faults", {"outage": True})

    def _log_back(self, event: FaultEvent) -> Any:
        return self._launcher.platform("/standin/faults", {"outage": False})

    def _lose_appends(self, event: FaultEvent) -> Any:
        return self._launcher.platform("/standin/faults", {"lose_appends": event.count})

    def _kill_router(self, event: FaultEvent) -> str:
        self._launcher.kill(event.target)
        self._killed.append(event.target)
        return event.target

    def _kill_coordinator(self, event: FaultEvent) -> str:
        """Kill the coordinator of the pool and zone in the target, `pool/zone`."""
        for name in self._launcher.routers:
            if name in self._killed:
                continue
            if event.target in self._launcher.status(name)["coordinates"]:
                return self._kill_router(FaultEvent(0, "kill-router", name))
        return "no coordinator was found"

    def _start_routers(self, event: FaultEvent) -> list[str]:
        started, self._killed = self._killed, []
        for name in started:
            self._launcher.start_router(name)
        return started

    def _pause_router(self, event: FaultEvent) -> None:
        self._launcher.signal(event.target, signal.SIGSTOP)

    def _resume_router(self, event: FaultEvent) -> None:
        self._launcher.signal(event.target, signal.SIGCONT)

    def _restart_router(self, event: FaultEvent) -> int:
        """Shut a router down gracefully and restart it; return its exit status."""
        self._launcher.signal(event.target, signal.SIGTERM)
        status = self._launcher.wait_exit(event.target, 60)
        self._launcher.start_router(event.target)
        self._launcher.wait_ready(event.target)
        return status

    def _fall_cold(self, event: FaultEvent) -> Any:
        return self._launcher.faults(event.target, {"fall_cold": True})

    def _drop_streams(self, event: FaultEvent) -> Any:
        return self._launcher.faults(event.target, {"drop_streams": event.count})

    def _cross_answers(self, event: FaultEvent) -> Any:
        return self._launcher.faults(event.target, {"cross_answers": event.count})

    def _lose_answers(self, event: FaultEvent) -> Any:
        return self._launcher.faults(event.target, {"lose_answers": event.count})

    def _cut_regions(self, event: FaultEvent) -> None:
        """Cut the peer links between two regions, `a|b`, in both directions."""
        left, right = (self._routers_of(region) for region in event.target.split("|"))
        for name in left:
            self._launcher.router_faults(name, cut_peers=right)
        for name in right:
            self._launcher.router_faults(name, cut_peers=left)

    def _heal_regions(self, event: FaultEvent) -> None:
        for name in self._launcher.routers:
            if name not in self._killed:
                self._launcher.router_faults(name)

    def _routers_of(self, region: str) -> list[str]:
        zones = self._launcher.spec.zones
        return [
            process.name
            for process in self._launcher.plan.routers
            if zones[process.settings["zone"]] == region
        ]
