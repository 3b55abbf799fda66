"""Detects prompt parts that crash the backend servers that begin to answer them.

No two requests with such a part need to be alike, and other requests share their caller and their
other parts. What the crashes have in common is therefore sought among the parts of the requests
that waited for their answer. A part is cleared as soon as an answer to any prompt with it begins.
Parts that were always together are blamed as a group: requests with all of them are refused.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._interrupted_run import InterruptedRun
from cicadaledge.edge._wall_clock import wall_ms
from cicadaledge.errors import RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.suspects import (
    MAX_TRIALS,
    MIN_INCIDENTS,
    PartEvidence,
    PartGroup,
    PartTracker,
    TrialClaim,
    TrialClaims,
)

# A part of a prompt whose answer began within this time before a crash is not suspected of it.
_RECENT_MS = 2_000.0
# Requests are told apart by this many characters of their fingerprints, which suffice among those of
# one crash.
_REQUEST_NAME_LENGTH = 8
# The parts of so many recently answered prompts are remembered. A router answers about a hundred
# requests a second, most of which share their parts.
_MAX_ANSWERED_PARTS = 4_096
# What this router can refute is published once the part is suspected of this many crashes, fewer
# than any part is blamed for.
_MIN_SUSPECTED_CRASHES = 2
# It is published within this time, at random, and only if no other router has done so before. All
# routers can refute a frequent part, and one of them suffices.
_MAX_PUBLISH_DELAY_MS = 300.0
# After parts are first blamed, requests with them wait this long for reports and refutations of other
# routers: two publication delays, a read of the store and the one-way delays.
_EVIDENCE_DELAY_MS = 800.0
# This long after the last crash, one request is let through to find out whether the parts
# still crash servers. The time doubles with each attempt that did.
_FIRST_TRIAL_MS = 60_000.0
# The same if all crashes were at about one moment, for which an outage is another explanation.
_EARLY_TRIAL_MS = 5_000.0
# A crash this long after the previous one was caused by such an attempt.
_MIN_TRIAL_GAP_MS = _FIRST_TRIAL_MS / 2
# In each period of this length, about one router of the fleet may claim a trial, to spare the store.
_TRIAL_PERIOD_MS = 5_000.0
_ROUTERS_PER_CLAIM = 1.0
# A request waits this long for its router's claim to a trial, which takes one call of the store and
# one read of it.
_CLAIM_WAIT_MS = 1_000.0
_log = PartLog("crashes")


@define
class _Blame:
    """State of a blamed group of parts.

    Args:
        since_ms: When this router began to blame it.
        claimed_period: Latest period in which this router claimed a trial of it.
        claim_pending_until_ms: Until when requests wait for the outcome of the claim.
        has_trial: Whether this router has won a trial and not begun it.
    """

    since_ms: float
    claimed_period: int = -1
    claim_pending_until_ms: float = 0.0
    has_trial: bool = False


@define
class _Refutation:
    """Crashes that this router has cleared a part of, and when it publishes this."""

    crashes: set[str] = field(factory=set)
    publish_at_ms: float | None = None


class PromptPartGuard:
    """Refuses requests whose prompt has a part that crashes servers.

    Args:
        window_ms: Time for which a crash is kept.
        is_selected: Returns whether this router is among about a given number of routers that are
            selected for a name.
        on_new_evidence: Called when this router has evidence that it has not published yet.
        on_claim: Called with a claim to a trial that is to be written to the store.
    """

    def __init__(
        self,
        window_ms: float,
        is_selected: Callable[[str, float], bool],
        on_new_evidence: Callable[[], None],
        on_claim: Callable[[TrialClaim], None],
    ) -> None:
        self._window_ms = window_ms
        self._on_claim = on_claim
        self._claims = TrialClaims()
        self._is_selected = is_selected
        self._on_new_evidence = on_new_evidence
        self._own = PartTracker(window_ms)
        self._published = PartTracker(window_ms)
        self._fleet = PartTracker(window_ms)
        self._first_heard_ms: dict[str, float] = {}
        self._answered_ms: OrderedDict[str, float] = OrderedDict()
        self._blamed: dict[PartGroup, _Blame] = {}
        self._refutations: dict[str, _Refutation] = {}

    def record_crash(self, crash: str, runs: Iterable[tuple[InterruptedRun, str]]) -> None:
        """Suspect the parts of prompts that waited for their answer in a crash.

        Args:
            runs: Runs that the crash interrupted, with the fingerprints of their requests.
        """
        from_ms = clock_ms() - _RECENT_MS
        requests_by_part: dict[str, set[str]] = {}
        for run, fingerprint in runs:
            if not run.had_begun:
                name = fingerprint[-_REQUEST_NAME_LENGTH:]
                for part in _parts(run.request):
                    if self._answered_ms.get(part, float("-inf")) < from_ms:
                        requests_by_part.setdefault(part, set()).add(name)
        evidence = PartEvidence(
            {crash: wall_ms()},
            {crash: {part: sorted(found) for part, found in requests_by_part.items()}},
        )
        self._own.merge(evidence, wall_ms())
        if self._merge_into_fleet(evidence):
            self._on_new_evidence()

    def retract_crash(self, crash: str) -> None:
        """Withdraw the suspicion caused by a crash that turned out to be none."""
        if parts := self._fleet.retract(crash):
            self._publish_cleared(parts, [crash])
            self._update_blamed()

    def record_begun_answer(self, request: ActiveRequest) -> None:
        """Record that a server has been answering a request without crashing."""
        now_ms = clock_ms()
        for part in _parts(request):
            self._answered_ms[part] = now_ms
            self._answered_ms.move_to_end(part)
            if crashes := self._fleet.crashes_of(part):
                self._refute(part, crashes)
        while len(self._answered_ms) > _MAX_ANSWERED_PARTS:
            self._answered_ms.popitem(last=False)

    def explain_crashes(self, fingerprints_by_crash: Mapping[str, Iterable[str]]) -> None:
        """Take over which crashes are explained by requests that are blamed as a whole."""
        self._fleet.explain(
            {
                crash: {fingerprint[-_REQUEST_NAME_LENGTH:] for fingerprint in fingerprints}
                for crash, fingerprints in fingerprints_by_crash.items()
            }
        )
        self._update_blamed()

    def blamed_group(self, request: ActiveRequest) -> PartGroup | None:
        """Return a blamed group of parts that a request's prompt holds."""
        if not self._blamed or (request.is_part_trial and not request.attempts):
            return None
        parts = set(_parts(request))
        return next((group for group in self._blamed if group <= parts), None)

    def awaits_evidence(self, request: ActiveRequest) -> bool:
        """Return whether evidence that clears a blamed part, or a trial of it, may still arrive.

        If a trial is due, it is claimed.
        """
        group = self.blamed_group(request)
        if group is None:
            return False
        blame = self._blamed[group]
        if clock_ms() - blame.since_ms < _EVIDENCE_DELAY_MS:
            return True
        if request.attempts:
            return False
        if not blame.has_trial:
            self._claim_trial(group, blame)
        return clock_ms() < blame.claim_pending_until_ms

    def check(self, request: ActiveRequest) -> None:
        """Refuse a request whose prompt holds blamed parts, but for a rare trial.

        Raises:
            RefusalError: The request must not be sent, or sent again.
        """
        group = self.blamed_group(request)
        if group is None:
            return
        if not request.attempts and self._begin_trial(group, request):
            return
        trial_in_ms = self._trial_in_ms(group)
        now_ms = wall_ms()
        crashes = self._fleet.crashes_of_group(group)
        _log.warning(
            "Request is refused because parts of its prompt are blamed for server crashes.",
            request_id=request.call.request_id,
            route=request.route.name,
            account=request.account_name,
            parts=sorted(group),
            crashes=sorted(crashes),
            crash_ages_ms=sorted(
                round(now_ms - self._fleet.crashed_at_ms(crash)) for crash in crashes
            ),
        )
        raise RefusalError(
            Code.PART_CRASHES_SERVERS, retry_after_ms=int(max(trial_in_ms, _TRIAL_PERIOD_MS))
        )

    def suspect_parts(self, request: ActiveRequest) -> tuple[str, ...]:
        """Return the parts of a request's prompt that may have caused crashes, sorted."""
        if not self._first_heard_ms:
            return ()
        return tuple(sorted(part for part in _parts(request) if self._fleet.crashes_of(part)))

    def blamed_crashes(self) -> set[str]:
        """Return the crashes that blamed groups explain."""
        return set().union(*map(self._fleet.crashes_of_group, self._blamed))

    def evidence(self) -> PartEvidence:
        """Return the evidence that this router itself has collected."""
        return self._own.evidence()

    def merge(self, evidence: PartEvidence, *, is_own: bool) -> None:
        """Merge the evidence that a router has published.

        Args:
            is_own: Whether this router published it before it was restarted.
        """
        if is_own:
            self._own.merge(evidence, wall_ms())
        self._merge_into_fleet(evidence)

    def publish_refutations(self) -> None:
        """Publish refutations that are due and that no other router has published.

        Called several times a second. It also determines what this router's refutations of parts
        that are not blamed mean for others, which may take milliseconds after many crashes.
        """
        self._update_blamed()
        now_ms = clock_ms()
        for part, refutation in list(self._refutations.items()):
            suspected = self._published.crashes_of(part)
            if not refutation.crashes & suspected:
                del self._refutations[part]
            elif len(suspected) < _MIN_SUSPECTED_CRASHES:
                continue
            elif refutation.publish_at_ms is None:
                refutation.publish_at_ms = now_ms + random.uniform(0.0, _MAX_PUBLISH_DELAY_MS)
            elif refutation.publish_at_ms <= now_ms:
                del self._refutations[part]
                self._publish_cleared([part], refutation.crashes & suspected)

    def expire(self) -> int:
        """Drop crashes that are older than the time window; return how many groups are blamed."""
        now_ms = wall_ms()
        self._own.expire(now_ms)
        self._published.expire(now_ms)
        self._fleet.expire(now_ms)
        self._claims.expire(now_ms - self._window_ms, self._blamed)
        for crash in list(self._first_heard_ms):
            if not self._fleet.has_crash(crash):
                del self._first_heard_ms[crash]
        self._update_blamed()
        return len(self._blamed)

    def _merge_into_fleet(self, evidence: PartEvidence) -> bool:
        """Merge evidence into that of the fleet; return whether any of it was new."""
        self._published.merge(evidence, wall_ms())
        if not self._fleet.merge(evidence, wall_ms()):
            return False
        now_ms = clock_ms()
        for crash, requests_by_part in evidence.ran.items():
            heard_ms = self._first_heard_ms.setdefault(crash, now_ms)
            for part in requests_by_part:
                if self._answered_ms.get(part, float("-inf")) >= heard_ms - _RECENT_MS:
                    self._refute(part, [crash])
        self._update_blamed()
        return True

    def _refute(self, part: str, crashes: Iterable[str]) -> None:
        """Clear a part of crashes at this router, and publish this later if others need it."""
        suspected = self._fleet.crashes_of(part).intersection(crashes)
        if not suspected:
            return
        self._fleet.clear(part, suspected)
        self._refutations.setdefault(part, _Refutation()).crashes |= suspected
        if any(part in group for group in self._blamed):
            self._update_blamed()

    def _publish_cleared(self, parts: Iterable[str], crashes: Iterable[str]) -> None:
        now_ms = wall_ms()
        for crash in crashes:
            if self._fleet.has_crash(crash):
                cleared = sorted(parts)
                evidence = PartEvidence(
                    {crash: self._fleet.crashed_at_ms(crash)},
                    {crash: {part: [] for part in cleared}},
                    {crash: cleared},
                )
                self._own.merge(evidence, now_ms)
                self._published.merge(evidence, now_ms)
                self._on_new_evidence()

    def _update_blamed(self) -> None:
        """Follow the evidence of the fleet, and log what has changed."""
        blamed = self._fleet.blamed()
        if blamed == self._blamed.keys():
            return
        for group in self._blamed.keys() - blamed:
            _log.warning(
                "Prompt parts are no longer blamed for server crashes, or only some of them.",
                parts=sorted(group),
            )
        for group in blamed - self._blamed.keys():
            _log.warning(
                "Prompt parts are blamed for server crashes; requests with all of them will be "
                "refused.",
                parts=sorted(group),
                crashes=sorted(self._fleet.crashes_of_group(group)),
            )
        self._blamed = {
            group: self._blamed.get(group) or _Blame(self._blamed_since_ms(group))
            for group in blamed
        }

    def _blamed_since_ms(self, group: PartGroup) -> float:
        """Return since when a group is blamed, if only as a part of a larger one."""
        larger = (blame.since_ms for other, blame in self._blamed.items() if group < other)
        return min(larger, default=clock_ms())

    def _trial_in_ms(self, group: PartGroup) -> float:
        """Return the time until a request with a blamed group may be let through.

        If all trials are used, this is the time until the evidence against the group expires.
        """
        now_ms = wall_ms()
        times_ms = self._fleet.incidents_ms(group)
        if self._claims.used(group) >= MAX_TRIALS:
            return times_ms[-1] + self._window_ms - now_ms
        last_ms = max(times_ms[-1], self._claims.claimed_at_ms(group) or 0.0)
        if len(times_ms) < MIN_INCIDENTS:
            return last_ms + _EARLY_TRIAL_MS - now_ms
        trials = sum(
            later - earlier >= _MIN_TRIAL_GAP_MS
            for earlier, later in zip(times_ms, times_ms[1:], strict=False)
        )
        return last_ms + _FIRST_TRIAL_MS * 2**trials - now_ms

    def _claim_trial(self, group: PartGroup, blame: _Blame) -> None:
        """Claim a trial if it is due, and this router's turn to ask for it."""
        period = int(wall_ms() // _TRIAL_PERIOD_MS)
        if blame.claimed_period == period or self._trial_in_ms(group) > 0:
            return
        name = f"{' '.join(sorted(group))}/{period}"
        claim = self._claims.next_claim(group, wall_ms())
        if claim is None or not self._is_selected(name, _ROUTERS_PER_CLAIM):
            return
        blame.claimed_period = period
        blame.claim_pending_until_ms = clock_ms() + _CLAIM_WAIT_MS
        self._on_claim(claim)

    def record_claim(self, claim: TrialClaim) -> None:
        """Record a claim of this or another router, in the order of the log."""
        is_won = self._claims.record(claim, wall_ms())
        blame = self._blamed.get(claim.parts)
        if blame is None or not self._claims.is_own(claim):
            return
        blame.claim_pending_until_ms = 0.0
        blame.has_trial = blame.has_trial or is_won

    def own_claims(self) -> list[TrialClaim]:
        """Return the claims of this router that it has read in the log."""
        return self._claims.own()

    def drop_trials(self) -> None:
        """Give up trials that were not begun, as the order of their claims is not certain."""
        for blame in self._blamed.values():
            blame.has_trial = False

    def _begin_trial(self, group: PartGroup, request: ActiveRequest) -> bool:
        """Let a request through if this router has won a trial; return whether it has."""
        blame = self._blamed[group]
        if not blame.has_trial:
            return False
        blame.has_trial = False
        request.is_part_trial = True
        _log.warning(
            "Request is let through to find out whether parts of its prompt still crash servers.",
            request_id=request.call.request_id,
            parts=sorted(group),
            trial=self._claims.used(group),
        )
        return True

    def release_trial(self, request: ActiveRequest) -> None:
        """Let another request take the trial of one that no server has received."""
        if not request.is_part_trial or request.attempts:
            return
        request.is_part_trial = False
        group = self.blamed_group(request)
        if group is not None:
            self._blamed[group].has_trial = True


def _parts(request: ActiveRequest) -> list[str]:
    """Return the parts that other requests may share, as a whole request is tracked by itself."""
    return [part.digest for part in request.call.shared_parts]
