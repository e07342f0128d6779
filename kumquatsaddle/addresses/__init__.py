"""Home groups of backend servers, their homes and the addresses for callers."""

from kumquatsaddle.addresses.answers import AddressEntry, answer_addresses
from kumquatsaddle.addresses.groups import Backend, Group, plan_groups
from kumquatsaddle.addresses.homes import HomeCandidate, assign_homes
from kumquatsaddle.addresses.placement import Placement
from kumquatsaddle.addresses.planner import (
    PlacementPlanner,
    make_placement,
    make_planner,
)

__all__ = [
    "AddressEntry",
    "Backend",
    "Group",
    "HomeCandidate",
    "Placement",
    "PlacementPlanner",
    "answer_addresses",
    "assign_homes",
    "make_placement",
    "make_planner",
    "plan_groups",
]
