"""End-to-end smoke test: separate processes answer requests byte for byte."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from cicadaledge.loadtool import Caller
from cicadaledge.standins import expected_text

pytestmark = pytest.mark.fleet


def test_forty_requests_of_four_accounts_are_answered_byte_for_byte(small_fleet):
    caller = Caller()
    urls = list(small_fleet.router_urls().values())
    accounts = ["ash", "birch", "cedar", "oldtimer"]

    def call(number):
        prompt = f"request {number} [[tokens={5 + number % 9}]]"
        result = caller.chat(
            urls[number % len(urls)],
            accounts[number % len(accounts)],
            prompt,
            stream=number % 3 != 0,
        )
        return prompt, result

    with ThreadPoolExecutor(8) as threads:
        results = list(threads.map(call, range(40)))
    for prompt, result in results:
        assert (result.status, result.complete, result.error) == (200, True, ""), result
        assert result.text == expected_text(prompt)
