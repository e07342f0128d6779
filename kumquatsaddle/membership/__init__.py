"""Membership: the member table and the gossip protocol that maintains it."""

from kumquatsaddle.membership.gossip import Gossip, make_gossip
from kumquatsaddle.membership.judgement import Judgement, make_judgement
from kumquatsaddle.membership.members import Member, MemberTable, make_table

__all__ = [
    "Gossip",
    "Judgement",
    "Member",
    "MemberTable",
    "make_gossip",
    "make_judgement",
    "make_table",
]
