"""Member list of the fleet's routers, their liveness, and rendezvous hashing."""

from cicadaledge.membership._liveness import Liveness
from cicadaledge.membership._members import Join, Leave, Member, Members, Remove, rank

__all__ = ["Join", "Leave", "Liveness", "Member", "Members", "Remove", "rank"]
