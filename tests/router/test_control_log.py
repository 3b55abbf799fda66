"""Operators' calls at a router that has not read yet what another router has appended."""

import asyncio
import contextlib
import threading

import pytest
from test_context import make_context

from cicadaledge.codes import Code, RunState
from cicadaledge.config import CONTROL_STREAM, Intent, IntentKind, Publish, encode_record
from cicadaledge.errors import RefusalError
from cicadaledge.log import LogPage
from cicadaledge.router._context import SwitchableLog
from cicadaledge.router._control_log import ControlLog
from cicadaledge.world import ClientAccount, Configuration

CONFIGURATION = Configuration(accounts={"ash": ClientAccount("ash")})
SHARE = Intent(IntentKind.SET_SHARE, "ash", 2.0)
# How long the second router reads later than the first.
DELAY_S = 0.2


class MemoryLog:
    """A log with one stream, in memory."""

    def __init__(self):
        self._records = []
        self._grown = threading.Condition()

    def append(self, stream, data):
        with self._grown:
            self._records.append(data)
            self._grown.notify_all()
            return len(self._records) - 1

    def read(self, stream, from_offset, wait_ms):
        with self._grown:
            self._grown.wait_for(lambda: len(self._records) > from_offset, wait_ms / 1000)
            records = list(enumerate(self._records))
        return LogPage(0, len(records), records[from_offset:])


async def read_after(delay_s, control_log):
    await asyncio.sleep(delay_s)
    await control_log.run_read_loop()


@contextlib.asynccontextmanager
async def two_routers():
    """Yield the control logs of two routers and the second router's client of the log."""
    log = MemoryLog()
    log.append(CONTROL_STREAM, encode_record(Publish(CONFIGURATION, "olga", 1)))
    contexts = [make_context(), make_context()]
    for context in contexts:
        context.log = SwitchableLog(log)
        context.bind_loop()
    routers = [ControlLog(context) for context in contexts]
    loops = [
        asyncio.create_task(read_after(delay_s, router))
        for delay_s, router in zip((0.0, DELAY_S), routers, strict=True)
    ]
    try:
        await routers[0]._read_back(0)
        yield *routers, contexts[1].log
    finally:
        for loop in loops:
            loop.cancel()
        for context in contexts:
            context.close()


def run(check):
    async def with_two_routers():
        async with two_routers() as routers:
            await check(*routers)

    asyncio.run(with_two_routers())


# Guards against "no such plan" for a plan that another router has just answered with.
def test_a_plan_can_be_confirmed_at_once_at_any_router():
    async def check(first, second, _):
        plan = await first.plan("olga", SHARE)
        assert (await second.confirm("olga", plan.plan_id)).accepted

    run(check)


# Guards against an audit trail without the decision that an operator has just been told.
def test_a_decision_is_at_once_in_the_audit_trail_of_any_router():
    async def check(first, second, _):
        plan = await first.plan("olga", SHARE)
        entry = await first.confirm("olga", plan.plan_id)
        assert (await second.audit())[-1] == entry

    run(check)


def test_a_plan_that_no_router_has_made_is_unknown():
    async def check(_, second, __):
        with pytest.raises(RefusalError) as refusal:
            await second.confirm("olga", "p-0")
        assert refusal.value.code is Code.PLAN_UNKNOWN

    run(check)


def test_without_the_log_an_unknown_plan_is_not_said_to_be_missing():
    async def check(first, second, log):
        plan = await first.plan("olga", SHARE)
        log.is_cut_off = True
        with pytest.raises(RefusalError) as refusal:
            await second.confirm("olga", plan.plan_id)
        assert refusal.value.code is Code.LOG_UNAVAILABLE
        assert refusal.value.run_state is RunState.NOT_RUN

    run(check)


def test_without_the_log_the_audit_trail_holds_what_was_read():
    async def check(first, _, __):
        plan = await first.plan("olga", SHARE)
        entry = await first.confirm("olga", plan.plan_id)
        first._context.log.is_cut_off = True
        assert (await first.audit())[-1] == entry

    run(check)
