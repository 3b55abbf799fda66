"""The engine emulator follows the users' data sheet."""

import pytest

from cicadaledge.routing import PromptPart
from cicadaledge.standins import EngineEmulator, EngineParameters, EngineRun


def run_of(prompt: int, output: int, times: list[float], *parts: PromptPart) -> EngineRun:
    return EngineRun(prompt, output, parts, times.append, lambda at_ms: None)


def play(engine: EngineEmulator, now_ms: float = 0.0) -> float:
    while not engine.is_idle:
        now_ms = engine.step(now_ms)
    return now_ms


def test_prefill_of_a_chunk_takes_time_and_delays_streams():
    times: list[float] = []
    engine = EngineEmulator()
    engine.submit(run_of(4096, 13, times))
    play(engine)
    assert times[0] == pytest.approx(62 + 4 + 12 + 2.5, abs=2.0)
    assert len(times) == 3


def test_shared_parts_are_prefilled_once_while_they_fit_in_memory():
    engine = EngineEmulator()
    part = PromptPart("shared", 5_000)
    for number in range(3):
        engine.submit(run_of(6_000, 2, [], part, PromptPart(f"own-{number}", 1_000)))
        play(engine)
    assert engine.prefilled_tokens == 6_000 + 2 * 1_000
    assert engine.recomputed_tokens == 0


def test_evicted_parts_are_recomputed():
    engine = EngineEmulator(EngineParameters(memory_tokens=12_000))
    first = PromptPart("first", 5_000)
    for part in (first, PromptPart("second", 5_000), PromptPart("third", 5_000), first):
        engine.submit(run_of(6_000, 2, [], part))
        play(engine)
    assert engine.recomputed_tokens == 5_000


def test_the_newest_request_is_preempted_when_memory_runs_out():
    engine = EngineEmulator(EngineParameters(memory_tokens=1_000))
    times: list[float] = []
    engine.submit(run_of(400, 300, times))
    engine.submit(run_of(400, 300, times))
    play(engine)
    assert len(times) >= 2 * 51
