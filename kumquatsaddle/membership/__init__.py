"""Membership: the table of instances and the gossip that keeps it."""

from kumquatsaddle.membership.gossip import Gossip, make_gossip
from kumquatsaddle.membership.members import Member, MemberTable, make_table

__all__ = ["Gossip", "Member", "MemberTable", "make_gossip", "make_table"]
