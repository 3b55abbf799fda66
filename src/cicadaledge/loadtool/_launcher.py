"""Starts and stops the processes of a development deployment."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import urllib3
import yaml

from cicadaledge.config import CONTROL_STREAM, Publish, encode_record
from cicadaledge.loadtool._deployment import (
    OPERATOR,
    DeploymentPlan,
    DeploymentSpec,
    ProcessSpec,
    operator_key,
    plan_deployment,
)
from cicadaledge.loadtool._ports import HOST
from cicadaledge.log import HttpLogClient
from cicadaledge.settings import Address
from cicadaledge.world import configuration_from_dict

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05


class LaunchError(Exception):
    """A process did not start or the fleet did not become ready in time."""


class Launcher:
    """Runs the processes of one deployment on this machine.

    Args:
        spec: The deployment.
        directory: Directory for the settings files and logs of the processes.
    """

    def __init__(self, spec: DeploymentSpec, directory: Path) -> None:
        self.spec = spec
        self.plan: DeploymentPlan = plan_deployment(spec)
        self.directory = directory
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._http = urllib3.PoolManager(retries=False, timeout=15.0, maxsize=8)

    def __enter__(self) -> Launcher:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: Any) -> None:
        self.stop()

    @property
    def routers(self) -> list[str]:
        """Names of the routers."""
        return [process.name for process in self.plan.routers]

    def router_urls(self) -> dict[str, str]:
        """Return the base URL of each router's listener for callers."""
        return {one.name: f"http://{HOST}:{one.port}" for one in self.plan.routers}

    def start(self) -> None:
        """Start all processes and wait until the fleet is ready."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.start_process(self.plan.platform)
        for process in self.plan.backends:
            self.start_process(process)
        if self.plan.old_system is not None:
            self.start_process(self.plan.old_system)
        self._wait_for(self.plan.platform.port, "/standin/faults", post=True)
        self.publish()
        for process in self.plan.backends:
            self._wait_for(process.port, "/load")
        for process in self.plan.routers:
            self.start_process(process)
        for process in self.plan.routers:
            self.wait_ready(process.name)
        self.wait_settled()

    def publish(self) -> None:
        """Append the configuration to the log."""
        log = HttpLogClient(Address(HOST, self.plan.platform.port), 5000)
        configuration = configuration_from_dict(self.plan.configuration)
        record = Publish(configuration, OPERATOR, time.time_ns() // 1_000_000)
        log.append(CONTROL_STREAM, encode_record(record))

    def start_process(self, process: ProcessSpec) -> None:
        """Start one process."""
        path = self.directory / f"{process.name}.yaml"
        path.write_text(yaml.safe_dump(process.settings))
        with (self.directory / f"{process.name}.log").open("ab") as log:
            self._processes[process.name] = subprocess.Popen(
                [sys.executable, "-m", "cicadaledge", *process.command, "--settings", str(path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def start_router(self, name: str) -> None:
        """Restart a router that has ended."""
        self.start_process(self._router_spec(name))

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()

    def wait_exit(self, name: str, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the end of one process; return its exit status."""
        return self._processes[name].wait(timeout_s)

    def stop(self) -> None:
        """Kill every process, paused ones included, and wait for their end."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()

    def wait_ready(self, name: str) -> None:
        """Wait until a router is ready."""
        self._wait_for(self._router_spec(name).port, "/readyz", name=name)

    def wait_settled(self, timeout_s: float = _START_TIMEOUT_S) -> None:
        """Wait until each server has a home router and, in leased mode, idle leased slots."""
        deadline = time.monotonic() + timeout_s
        servers = set(self.plan.configuration["servers"])
        while time.monotonic() < deadline:
            states = [self.status(name) for name in self.routers]
            owned = {server for state in states for server in state["servers_owned"]}
            joined = all(len(state["members"]) == len(self.routers) for state in states)
            leased = sum(state["slots_open"] for state in states)
            busy = sum(state["slots_busy"] for state in states)
            coordinated = self.spec.capacity != "leased" or (leased >= len(servers) and not busy)
            if joined and owned == servers and coordinated:
                return
            time.sleep(0.2)
        raise LaunchError("fleet not ready: members, home routers or idle leased slots are missing")

    def status(self, name: str) -> Any:
        """Return a router's status."""
        return self.operator("GET", "status", name)

    def operator(
        self, method: str, path: str, router: str, body: Any = None, operator: str = OPERATOR
    ) -> Any:
        """Call the operator API of a router and return its JSON response."""
        url = f"http://{HOST}:{self._router_spec(router).port}/operator/v1/{path}"
        headers = {"Authorization": f"Bearer {operator_key(operator)}"}
        data = json.dumps(body).encode() if body is not None else None
        answer = self._http.request(method, url, body=data, headers=headers)
        return answer.json()

    def carry_out(self, intent: dict[str, Any], router: str | None = None) -> Any:
        """Request a plan for an intent and confirm it; return the audit entry."""
        name = router or self.routers[0]
        plan = self.operator("POST", "plans", name, intent)
        return self.operator("POST", f"plans/{plan['plan_id']}/confirm", name)

    def faults(self, name: str, faults: dict[str, Any]) -> Any:
        """Set the fault switches of a stand-in."""
        return self._call_standin("POST", name, "/standin/faults", faults)

    def platform(self, path: str, body: Any) -> Any:
        """Call the control API of the platform stand-in."""
        return self._call_standin("POST", "platform", path, body)

    def router_faults(
        self, name: str, cut_peers: list[str] | None = None, cut_log: bool = False
    ) -> None:
        """Set the fault switches of a router."""
        body = {"cut_peers": cut_peers or [], "cut_log": cut_log}
        self.operator("POST", "faults", name, body)

    def journal(self, name: str) -> Any:
        """Return what a stand-in has recorded."""
        return self._call_standin("GET", name, "/standin/journal", None)

    def journals(self) -> dict[str, Any]:
        """Return the records of all backend servers."""
        return {process.name: self.journal(process.name) for process in self.plan.backends}

    def _call_standin(self, method: str, name: str, path: str, body: Any) -> Any:
        ports = {process.name: process.port for process in self.plan.backends}
        ports["platform"] = self.plan.platform.port
        data = json.dumps(body).encode() if body is not None else None
        return self._http.request(method, f"http://{HOST}:{ports[name]}{path}", body=data).json()

    def _router_spec(self, name: str) -> ProcessSpec:
        return next(process for process in self.plan.routers if process.name == name)

    def _wait_for(self, port: int, path: str, post: bool = False, name: str = "") -> None:
        deadline = time.monotonic() + _START_TIMEOUT_S
        url = f"http://{HOST}:{port}{path}"
        while time.monotonic() < deadline:
            try:
                answer = self._http.request(
                    "POST" if post else "GET", url, body=b"{}" if post else None
                )
                if answer.status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            if name and self._processes[name].poll() is not None:
                break
            time.sleep(_POLL_INTERVAL_S)
        raise LaunchError(
            f"no status 200 from {url}; process logs are in {os.fspath(self.directory)}"
        )
