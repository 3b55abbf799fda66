"""Encoding of signed event ids; refusal of any others."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError
from cicadaledge.router._event_ids import EventId, EventIdSigner

SIGNER = EventIdSigner("a-fleet-key-for-tests")
EVENT_ID = EventId("server", "boot", "stream.0", 7, "digest", "body")


def test_event_id_round_trip():
    assert SIGNER.decode(SIGNER.encode(EVENT_ID)) == EVENT_ID


@given(st.text(max_size=200))
def test_arbitrary_text_is_refused(text):
    with pytest.raises(RefusalError) as caught:
        SIGNER.decode(text)
    assert caught.value.code is Code.BAD_EVENT_ID


def test_event_id_of_another_fleet_is_refused():
    other = EventIdSigner("another-fleet-key")
    with pytest.raises(RefusalError):
        SIGNER.decode(other.encode(EVENT_ID))
