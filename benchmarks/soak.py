"""Searches for faults that break the guarantees to callers; ``make soak`` runs this.

Usage:
  benchmarks.soak [--seed=N] [--minutes=M] [--instances=N] [--replay]

Options:
  --seed=N       First seed [default: 1].
  --minutes=M    Time to search [default: 1].
  --instances=N  Instances of the fleet [default: 3].
  --replay       Run only the first seed.

Each round runs a fleet under load for 8 s with faults drawn at random from its seed,
prints the seed, and compares the outcomes that the callers recorded with the requests
that the backend servers executed. A failing seed is printed with the command that
replays it. The seed determines faults and load, but not the interleaving of tasks and
sockets.
"""

import sys
import time

import trio
from docopt import docopt

from kumquatsaddle.logs import set_log_level
from kumquatsaddle.testing.chaos import run_chaos
from kumquatsaddle.testing.fleet import open_fleet

__all__ = ["main"]

_ROUND_SECONDS = 8.0


async def _run_round(seed, instances):
    async with open_fleet(instances, 3, work=0.005) as fleet:
        record = await run_chaos(fleet, seed, _ROUND_SECONDS)
        return record.outcomes


def main(arguments=None):
    """Run rounds until the time is over or a seed fails; return 1 if one failed."""
    options = docopt(__doc__, argv=arguments)
    set_log_level("ERROR")
    seed, instances = int(options["--seed"]), int(options["--instances"])
    end = time.monotonic() + 60 * float(options["--minutes"])
    while True:
        print(f"seed {seed}: ", end="", flush=True)
        try:
            print(trio.run(_run_round, seed, instances), flush=True)
        except (AssertionError, BaseExceptionGroup) as error:
            print(f"failed: {error!r}")
            print(f"replay: python -m benchmarks.soak --seed={seed} --replay")
            return 1
        if options["--replay"] or time.monotonic() >= end:
            return 0
        seed += 1


if __name__ == "__main__":
    sys.exit(main())
