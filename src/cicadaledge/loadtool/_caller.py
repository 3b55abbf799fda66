"""HTTP client for routers, used by the load tool and the tests."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

import urllib3
from attrs import define, field

from cicadaledge.loadtool._deployment import account_key

_TIMEOUT_S = 120.0
_CALL_ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError)


@define
class CallResult:
    """Outcome of one HTTP call to a router.

    Args:
        status: HTTP status, 0 if there was no response.
        complete: Whether a successful response was received to its end.
        code: Error code of the refusal or of the stream's error event, 0 without one.
        started_ms: Wall-clock time when the call started.
        event_times_s: Arrival time of each stream event, from the start of the call.
    """

    account: str = ""
    router: str = ""
    status: int = 0
    text: str = ""
    complete: bool = False
    code: int = 0
    run_state: str = ""
    last_event_id: str = ""
    request_id: str = ""
    started_ms: int = 0
    elapsed_s: float = 0.0
    event_times_s: list[float] = field(factory=list)
    error: str = ""

    @property
    def tokens(self) -> int:
        """Number of text events received; an engine sends one for each token."""
        return len(self.event_times_s)


class Caller:
    """Sends requests of client accounts to routers."""

    def __init__(self, connections: int = 64, timeout_s: float = _TIMEOUT_S) -> None:
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(connect=5.0, read=timeout_s), maxsize=connections
        )

    def chat(
        self,
        url: str,
        account: str,
        prompt: str,
        *,
        model: str = "draft",
        stream: bool = True,
        headers: dict[str, str] | None = None,
        on_event: Callable[[CallResult], None] | None = None,
    ) -> CallResult:
        """Send a chat completion request.

        Args:
            on_event: Called after each event of a streamed response.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
        }
        result = CallResult(account=account, router=url, started_ms=time.time_ns() // 1_000_000)
        started = time.monotonic()
        try:
            answer = self._http.request(
                "POST",
                url + "/v1/chat/completions",
                body=json.dumps(body).encode(),
                headers=_headers(account, headers),
                preload_content=False,
            )
            self._read_answer(answer, stream, result, started, on_event)
        except _CALL_ERRORS as error:
            result.error = repr(error)
        result.elapsed_s = time.monotonic() - started
        return result

    def service(
        self,
        url: str,
        account: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Call a backend service that is not a model."""
        result = CallResult(account=account, router=url, started_ms=time.time_ns() // 1_000_000)
        started = time.monotonic()
        try:
            answer = self._http.request(
                method, url + path, body=body, headers=_headers(account, headers)
            )
            result.status = answer.status
            result.text = answer.data.decode()
            result.request_id = answer.headers.get("X-Request-Id", "")
            result.complete = answer.status < 300
            self._parse_refusal(result)
        except _CALL_ERRORS as error:
            result.error = repr(error)
        result.elapsed_s = time.monotonic() - started
        return result

    def _read_answer(
        self,
        answer: Any,
        stream: bool,
        result: CallResult,
        started: float,
        on_event: Callable[[CallResult], None] | None,
    ) -> None:
        result.status = answer.status
        result.request_id = answer.headers.get("X-Request-Id", "")
        if not stream or answer.status != 200:
            result.text = answer.read().decode()
            answer.release_conn()
            if answer.status == 200:
                result.text = json.loads(result.text)["choices"][0]["message"]["content"]
                result.complete = True
            else:
                self._parse_refusal(result)
            return
        buffer = b""
        try:
            for chunk in answer.stream(65_536):
                buffer += chunk
                *events, buffer = buffer.split(b"\n\n")
                for event in events:
                    self._parse_event(event, result, started)
                    if on_event is not None:
                        on_event(result)
            answer.release_conn()
        finally:
            if not result.complete:
                answer.close()

    def _parse_event(self, event: bytes, result: CallResult, started: float) -> None:
        parts = [line.partition(b":") for line in event.split(b"\n")]
        fields = {name: value for name, _, value in parts}
        data = fields.get(b"data", b"").strip()
        if data == b"[DONE]":
            result.complete = True
        elif b"event" in fields:
            error = json.loads(data)["error"]
            result.code = error["code"]
            result.run_state = error["run_state"]
        else:
            result.last_event_id = fields.get(b"id", b"").strip().decode()
            result.text += json.loads(data)["choices"][0]["delta"]["content"]
            result.event_times_s.append(time.monotonic() - started)

    def _parse_refusal(self, result: CallResult) -> None:
        try:
            error = json.loads(result.text)["error"]
            result.code = int(error["code"])
            result.run_state = str(error["run_state"])
        except (ValueError, KeyError, TypeError):
            return


def _headers(account: str, extra: dict[str, str] | None) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {account_key(account)}",
        "Content-Type": "application/json",
        **(extra or {}),
    }
