"""Encodes what routers write into the store; `_decode` reads it."""

from __future__ import annotations

import json

from cicadaledge.rollouts import RolloutStatus
from cicadaledge.store import CrashEvidence, FleetMember
from cicadaledge.suspects import TrialClaim


def encode_status(status: RolloutStatus) -> bytes:
    """Return the record of the status of a rollout."""
    payload = {
        "service": status.service,
        "to": status.to,
        "state": status.state.value,
        "sinceMs": status.since_ms,
        "former": [{"version": version} for version in status.former],
    }
    return json.dumps(payload, separators=(",", ":")).encode()


def encode_evidence(evidence: CrashEvidence) -> bytes:
    """Return the record of a router's crash evidence."""
    payload = {
        "crashed": evidence.requests.crashed_ms,
        "ran": evidence.requests.ran,
        "cleared": evidence.requests.cleared,
        "parts_crashed": evidence.parts.crashed_ms,
        "parts_ran": evidence.parts.ran,
        "parts_cleared": evidence.parts.cleared,
    }
    return json.dumps(payload, separators=(",", ":")).encode()


def encode_trial_claim(claim: TrialClaim) -> bytes:
    """Return the record of a claim to a trial."""
    payload = {
        "parts": sorted(claim.parts),
        "number": claim.number,
        "claimant": claim.claimant,
        "at": claim.at_ms,
    }
    return json.dumps(payload, separators=(",", ":")).encode()


def encode_member(member: FleetMember) -> bytes:
    """Return the membership entry of a router."""
    payload = {
        "host": member.host,
        "port": member.peer_port,
        "zone": member.zone,
        "started": member.started_ms,
        "announced": member.announced,
    }
    return json.dumps(payload).encode()
