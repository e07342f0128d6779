"""Runs the benchmarks of the requirements in turn; ``make bench`` runs this.

Usage:
  benchmarks.run [--only=NAME]

Options:
  --only=NAME  One of: path, detection, floods, movement.
"""

import sys

from docopt import docopt

from benchmarks import detection, floods, movement, request_path
from kumquatsaddle.registries import Registry

__all__ = ["main", "parts"]

parts = Registry("part")


@parts.register("path")
def run_request_path():
    """Measure the latency that an instance adds, and requests/s on one core."""
    return request_path.main(["--seconds=8"])


@parts.register("detection")
def run_detection():
    """Measure the time to detect gray backend servers."""
    return detection.main(["--seed=1", "--runs=300", "--days=1"])


@parts.register("floods")
def run_floods():
    """Measure service by rank in floods."""
    return floods.main(["--seed=1"])


@parts.register("movement")
def run_movement():
    """Measure the homes that change when an instance leaves."""
    return movement.main(["--leaves=40"])


def main(arguments=None):
    """Run one or all parts; return 1 if one of them misses its goals."""
    only = docopt(__doc__, argv=arguments)["--only"]
    failed = []
    for name in [only] if only else ["path", "detection", "floods", "movement"]:
        print(f"\n## {name}\n", flush=True)
        if parts.get(name)():
            failed.append(name)
    if failed:
        print(f"\ngoals missed: {', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
