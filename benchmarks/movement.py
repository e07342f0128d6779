"""Measures how many homes and primary homes change when one instance leaves.

Usage:
  benchmarks.movement [--leaves=N]

Options:
  --leaves=N  Instances that leave in turn, one at a time [default: 40].

The fleet has the target size: 520 instances, 4,300 backend servers, 110 services, 7
availability zones. At least the share of one instance, 1 of 520, has to move.
"""

import sys

from docopt import docopt

from benchmarks.slopes import make_placement_inputs
from kumquatsaddle.addresses.answers import order_homes
from kumquatsaddle.addresses.planner import make_placement

__all__ = ["main"]

_ACCOUNTS = 2000


def _choose_primaries(placement, services):
    primaries = {}
    for number in range(_ACCOUNTS):
        service = services[number % len(services)].name
        account = f"account-{number}"
        homes = order_homes(placement.homes_of(service), service, account)
        primaries[service, account] = homes[0]
    return primaries


def _count_changes(before, after):
    return sum(after.get(key) != value for key, value in before.items())


def main(arguments=None):
    """Print the mean share that moves, over the leaving instances."""
    leaves = int(docopt(__doc__, argv=arguments)["--leaves"])
    services, backends, candidates = make_placement_inputs()
    before = make_placement(services, backends, candidates)
    primaries = _choose_primaries(before, services)
    homes_moved, primaries_moved = 0, 0
    for number in range(leaves):
        remaining = candidates[:number] + candidates[number + 1 :]
        after = make_placement(services, backends, remaining)
        homes_moved += _count_changes(before.homes, after.homes)
        changed = _count_changes(primaries, _choose_primaries(after, services))
        primaries_moved += changed
    instance_share = 1 / len(candidates)
    homes_moved_share = homes_moved / leaves / len(before.homes)
    primaries_moved_share = primaries_moved / leaves / len(primaries)
    print("| what moves when 1 of 520 instances leaves | part | times the share |")
    print("|---|---|---|")
    print(
        f"| homes of {len(before.homes)} groups | {homes_moved_share:.2%}"
        f" | {homes_moved_share / instance_share:.2f} |"
    )
    print(
        f"| primaries of {len(primaries)} accounts | {primaries_moved_share:.2%}"
        f" | {primaries_moved_share / instance_share:.2f} |"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
