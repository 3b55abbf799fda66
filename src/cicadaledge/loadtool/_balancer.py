"""Polls router readiness in place of a platform load balancer."""

from __future__ import annotations

import threading

import urllib3

_POLL_INTERVAL_S = 0.25
_REQUEST_TIMEOUT_S = 0.5


class Balancer:
    """Polls the readiness endpoint of every router in a background thread.

    Args:
        urls: Base URL of each router's listener for callers, by router name.
    """

    def __init__(self, urls: dict[str, str]) -> None:
        self._urls = urls
        self._ready = list(urls.values())
        self._stop = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=_REQUEST_TIMEOUT_S, maxsize=4)
        self._thread = threading.Thread(target=self._poll_until_stopped, daemon=True)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the polling thread and wait for its end."""
        self._stop.set()
        self._thread.join()

    def ready(self) -> list[str]:
        """Return the URLs of ready routers, or of all routers if none is ready."""
        return self._ready or list(self._urls.values())

    def _poll_until_stopped(self) -> None:
        while not self._stop.is_set():
            self._ready = [url for url in self._urls.values() if self._is_ready(url)]
            self._stop.wait(_POLL_INTERVAL_S)

    def _is_ready(self, url: str) -> bool:
        try:
            return self._http.request("GET", url + "/readyz").status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False
