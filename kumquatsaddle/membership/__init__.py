"""Membership: the member table and the gossip protocol that maintains it."""

from kumquatsaddle.membership.gossip import Gossip, make_gossip
from kumquatsaddle.membership.impairment import (
    ImpairmentMonitor,
    make_impairment_monitor,
)
from kumquatsaddle.membership.members import Member, MemberTable, make_table

__all__ = [
    "Gossip",
    "ImpairmentMonitor",
    "Member",
    "MemberTable",
    "make_gossip",
    "make_impairment_monitor",
    "make_table",
]
