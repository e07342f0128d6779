"""Send an open-loop load to a fleet and report the results by rank.

Usage:
  kumquatsaddle-load --seed=ADDRESS... --flow=FLOW... [options]
  kumquatsaddle-load (-h | --help)
  kumquatsaddle-load --version

Options:
  --seed=ADDRESS    Instance that is asked for addresses, host:port.
  --flow=FLOW       Requests of one kind: service=NAME,account=NAME,target=PATH and
                    optionally rank=RANK (label in the report), rate=N (requests/s),
                    method=METHOD, body=TEXT, idempotent=yes|no and accounts=N, which
                    spreads the flow over accounts NAME-0 to NAME-(N-1).
  --seconds=S       Time in seconds for which requests are sent [default: 10].
  --count=N         Maximum number of requests, up to 10000000 [default: 100000].
  --in-flight=N     Maximum number of requests in flight; requests that are due
                    beyond it are skipped [default: 1000].
  --timeout=S       Time limit of an attempt in seconds [default: 10].
  --attempts=N      Maximum attempts of a request that gets no answer [default: 2].
  --random-seed=N   Seed of the arrival times [default: 1].
  --ca-file=FILE    Connects with TLS and trusts this certificate authority.
  --save=FILE       Saves the run as JSON for kumquatsaddle-report.
  --json            Prints the run as JSON.
  -h --help         Show this text.
  --version         Show the version.

Arrivals are a Poisson process that does not wait for answers; latency is measured from
the time at which a request was due. Exit codes: 0, or 2 for invalid arguments, 7 if
no request was answered, 9 if no seed returns addresses.
"""

import json
import math
import random
import ssl
import sys
from dataclasses import dataclass

import trio
from docopt import docopt

from kumquatsaddle import __version__
from kumquatsaddle.caller import make_caller
from kumquatsaddle.caller.addresses import FleetUnreachableError
from kumquatsaddle.caller.calls import NO_ADDRESS
from kumquatsaddle.commands.load_runs import LoadRun, RankTally, format_table, write_run
from kumquatsaddle.exceptions import KumquatsaddleError, SettingsError
from kumquatsaddle.settings.parsers import parse_address
from kumquatsaddle.types import Outcome, Rank

__all__ = ["Flow", "main", "parse_flow", "run_load"]

_MAX_RUN_SECONDS = 3600.0
_MAX_REQUESTS = 10_000_000
_MAX_IN_FLIGHT = 20_000
_MAX_RATE_PER_SECOND = 100_000.0
_MAX_ACCOUNTS = 1000
_MAX_ATTEMPTS = 10
# A shorter run prints no line of progress.
_PROGRESS_INTERVAL_SECONDS = 2.0
_EXIT_CODE_NONE_ANSWERED = 7
_FLOW_KEYS = ("service", "account", "target", "rank", "rate", "method", "body")
_FLOW_KEYS += ("idempotent", "accounts")


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one kind.

    Parameters
    ----------
    service, account, target : str
    rank : Rank
        Label in the report; the fleet derives the rank from account and route.
    rate : float
        In requests/s, summed over all accounts.
    method, body : str
    idempotent : bool
    accounts : int
        Number of client accounts that the requests are spread over.
    """

    service: str
    account: str
    target: str
    rank: Rank = Rank.STANDARD
    rate: float = 10.0
    method: str = "GET"
    body: str = ""
    idempotent: bool = True
    accounts: int = 1

    def list_accounts(self):
        """Return the names of the accounts."""
        if self.accounts == 1:
            return [self.account]
        return [f"{self.account}-{number}" for number in range(self.accounts)]


@dataclass(slots=True)
class LoadLimits:
    """Limits of a run.

    Parameters
    ----------
    seconds : float
        Time for which requests are sent.
    count : int
        Maximum number of requests.
    in_flight : int
        Maximum number of requests in flight.
    timeout : float
        Time limit of an attempt in seconds.
    attempts : int
        Maximum attempts of a request that gets no answer.
    """

    seconds: float
    count: int
    in_flight: int
    timeout: float
    attempts: int


def parse_flow(text):
    """Return the `Flow` that an argument describes.

    Raises
    ------
    SettingsError
        If a part is missing, unknown or out of range.
    """
    parts = {}
    for part in text.split(","):
        key, separator, value = part.partition("=")
        if not separator or key not in _FLOW_KEYS or key in parts:
            known = ", ".join(_FLOW_KEYS)
            raise SettingsError(
                f"{part!r} is not one of {known} with a value", "--flow"
            )
        parts[key] = value
    for key in ("service", "account", "target"):
        if not parts.get(key):
            raise SettingsError("is missing", "--flow", key=key)
    if not parts["target"].startswith("/"):
        raise SettingsError(
            f"{parts['target']!r} does not start with '/'", "--flow", key="target"
        )
    method = parts.get("method", "GET").upper()
    default = "no" if method in ("POST", "PATCH") else "yes"
    return Flow(
        parts["service"],
        parts["account"],
        parts["target"],
        _parse_choice(parts, "rank", "standard", {r.name.lower(): r for r in Rank}),
        _parse_number(
            "--flow", parts.get("rate", "10"), 0.001, _MAX_RATE_PER_SECOND, "rate"
        ),
        method,
        parts.get("body", ""),
        _parse_choice(parts, "idempotent", default, {"yes": True, "no": False}),
        _parse_integer(
            "--flow", parts.get("accounts", "1"), 1, _MAX_ACCOUNTS, "accounts"
        ),
    )


async def run_load(seeds, flows, limits, seed=1, context=None, progress=None):
    """Send a load and return the measured `LoadRun`.

    Parameters
    ----------
    seeds : list of Address
    flows : list of Flow
    limits : LoadLimits
    seed : int
        Seed of the random arrival times.
    context : ssl.SSLContext, optional
    progress : callable, optional
        Called every 2 s with a line of text about the progress.

    Returns
    -------
    LoadRun
    """
    tallies = {flow.rank: RankTally(flow.rank) for flow in flows}
    generator = _LoadGenerator(seeds, limits, tallies, context)
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        if progress is not None:
            nursery.start_soon(_report_progress, generator, progress)
        async with trio.open_nursery() as requests:
            async with trio.open_nursery() as arrivals:
                for index, flow in enumerate(flows):
                    rng = random.Random(f"{seed}/{index}")
                    arrivals.start_soon(generator.send_flow, flow, rng, requests)
            seconds = trio.current_time() - started
        nursery.cancel_scope.cancel()
    await generator.close()
    options = {
        "seeds": [str(address) for address in seeds],
        "flows": [_describe_flow(flow) for flow in flows],
        "random_seed": seed,
    }
    return LoadRun(options, seconds, tallies)


class _LoadGenerator:
    """Sends the requests of a run and counts them."""

    def __init__(self, seeds, limits, tallies, context):
        self.limits = limits
        self.tallies = tallies
        self.started_requests = 0
        self.in_flight = 0
        self._seeds = seeds
        self._context = context
        self._callers = {}

    async def send_flow(self, flow, rng, nursery):
        """Start the requests of a flow, with arrivals as a Poisson process."""
        accounts = flow.list_accounts()
        due = started = trio.current_time()
        while True:
            due += rng.expovariate(flow.rate)
            if due - started > self.limits.seconds:
                return
            await trio.sleep_until(due)
            if self.started_requests >= self.limits.count:
                return
            if self.in_flight >= self.limits.in_flight:
                self.tallies[flow.rank].skipped += 1
                continue
            self.started_requests += 1
            self.in_flight += 1
            caller = self._get_or_make_caller(flow.service, rng.choice(accounts))
            nursery.start_soon(self._send, caller, flow, due)

    async def close(self):
        """Close the connections of all callers."""
        for caller in self._callers.values():
            await caller.close()

    def _get_or_make_caller(self, service, account):
        caller = self._callers.get((service, account))
        if caller is None:
            caller = self._callers[service, account] = make_caller(
                self._seeds,
                service,
                account,
                self.limits.timeout,
                self.limits.attempts,
                self._context,
            )
        return caller

    async def _send(self, caller, flow, due):
        try:
            result = await caller.send(
                flow.method,
                flow.target,
                flow.body.encode(),
                idempotent=flow.idempotent,
            )
        finally:
            self.in_flight -= 1
        self.tallies[flow.rank].add(result, trio.current_time() - due)


async def _report_progress(generator, progress):
    started = trio.current_time()
    while True:
        await trio.sleep(_PROGRESS_INTERVAL_SECONDS)
        done = sum(tally.outcomes["done"] for tally in generator.tallies.values())
        completed = sum(tally.sent for tally in generator.tallies.values())
        elapsed = trio.current_time() - started
        progress(
            f"{elapsed:.0f} of {generator.limits.seconds:.0f} s: {completed} completed,"
            f" {done} done, {generator.in_flight} in flight"
        )


def _describe_flow(flow):
    names = ("service", "account", "target", "rate", "method", "idempotent", "accounts")
    value = {name: getattr(flow, name) for name in names}
    return value | {"rank": flow.rank.name.lower()}


def _parse_choice(parts, key, default, known):
    word = parts.get(key, default)
    if word not in known:
        problem = f"{word!r} is not one of {', '.join(known)}"
        raise SettingsError(problem, "--flow", key=key)
    return known[word]


def _parse_number(option, text, low, high, key=None):
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not low <= value <= high:
        raise SettingsError(f"{text!r} is not within {low} to {high}", option, key=key)
    return value


def _parse_integer(option, text, low, high, key=None):
    if not (text.isascii() and text.isdigit()):
        raise SettingsError(f"{text!r} is not a whole number", option, key=key)
    return int(_parse_number(option, text, low, high, key))


def _parse_limits(options):
    return LoadLimits(
        _parse_number("--seconds", options["--seconds"], 0.1, _MAX_RUN_SECONDS),
        _parse_integer("--count", options["--count"], 1, _MAX_REQUESTS),
        _parse_integer("--in-flight", options["--in-flight"], 1, _MAX_IN_FLIGHT),
        _parse_number("--timeout", options["--timeout"], 0.01, 60.0),
        _parse_integer("--attempts", options["--attempts"], 1, _MAX_ATTEMPTS),
    )


def _parse_seed(text):
    try:
        return parse_address(text)
    except ValueError as error:
        raise SettingsError(str(error), "--seed") from None


def _make_tls_context(file):
    if not file:
        return None
    try:
        return ssl.create_default_context(cafile=file)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{file}: {error}", "--ca-file") from None


def _run_command(options):
    limits = _parse_limits(options)
    seeds = [_parse_seed(text) for text in options["--seed"]]
    flows = [parse_flow(text) for text in options["--flow"]]
    context = _make_tls_context(options["--ca-file"])
    seed = _parse_integer("--random-seed", options["--random-seed"], 0, 1e18)

    def progress(line):
        print(f"kumquatsaddle-load: {line}", file=sys.stderr, flush=True)

    run = trio.run(run_load, seeds, flows, limits, seed, context, progress)
    if options["--save"]:
        write_run(run, options["--save"])
    print(json.dumps(run.to_json()) if options["--json"] else format_table(run))
    tallies = run.tallies.values()
    if any(tally.outcomes[Outcome.DONE.value] for tally in tallies):
        return 0
    unreachable = sum(tally.refusals[NO_ADDRESS] for tally in tallies)
    sent = sum(tally.sent for tally in tallies)
    if sent and unreachable == sent:
        raise FleetUnreachableError("no seed instance returned addresses")
    return _EXIT_CODE_NONE_ANSWERED


def main(arguments=None):
    """Run the command; return its exit code."""
    options = docopt(__doc__, argv=arguments, version=__version__)
    try:
        return _run_command(options)
    except KumquatsaddleError as error:
        print(f"kumquatsaddle-load: {error}", file=sys.stderr)
        return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
