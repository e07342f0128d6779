"""Simulated backend server with a few slots and injectable gray failures.

Usage:
  standins.backend --name=NAME --listen=ADDRESS [--slots=N] [--work=S]
                   [--seed=N]

Options:
  --slots=N  Number of requests that run at a time [default: 6].
  --work=S   Mean processing time of a request in seconds [default: 0.02].
  --seed=N   Seed of the random numbers [default: 1].

``PUT /.mode`` with a JSON object sets its behaviour:

- ``error_rate``: share of requests that are answered with status 500 after their
  processing time and are not counted as executed;
- ``slow_factor``: factor on the processing time of a request;
- ``cut_rate``: share of requests that run, but whose answer is truncated;
- ``flap_period``: length in seconds of alternating phases with and without these
  faults, beginning with faults; 0: the faults are always on;
- ``draining``: true refuses new requests as unprocessed and reports draining.

``GET /.executions`` returns how often each operation id ran, ``GET /.bodies`` the
same by request body. ``GET /health`` always reports a healthy server, as the health
endpoint of a server with gray failures does.
"""

import json
import random
import sys

import trio
from docopt import docopt

from kumquatsaddle.settings.parsers import parse_address
from standins.http import Reply, reply_json, serve_http

__all__ = ["BackendStandin", "main"]

_DRAINING_HEADERS = [("Backend-State", "draining"), ("Backend-Unprocessed", "1")]
_OVERLOADED_HEADERS = [("Backend-Unprocessed", "1")]


class BackendStandin:
    """A simulated backend server.

    Parameters
    ----------
    name : str
    slots : int
        Number of requests that run at a time; more are refused as unprocessed.
    work : float
        Mean processing time of a request in seconds.
    seed : int
    """

    def __init__(self, name, slots=6, work=0.02, seed=1):
        self.name = name
        self.slots = slots
        self.work = work
        self.mode = {}
        self.reset_mode()
        self.executions = {}
        self.bodies = {}
        # Number of requests, including refused ones.
        self.received = 0
        self.served = 0
        self.running = 0
        self._rng = random.Random(f"{seed}/{name}")

    def reset_mode(self):
        """Turn off all faults."""
        self.mode.update(
            error_rate=0.0,
            slow_factor=1.0,
            cut_rate=0.0,
            flap_period=0.0,
            draining=False,
        )

    async def handle(self, method, target, headers, body):
        """Answer one request."""
        if target == "/.mode":
            self.mode.update(json.loads(body))
            return reply_json(self.mode)
        if target == "/.executions":
            return reply_json(self.executions)
        if target == "/.bodies":
            return reply_json(self.bodies)
        if target == "/.served":
            return reply_json({"served": self.served})
        if target == "/health":
            return reply_json({"status": "ok"})
        self.received += 1
        if self.mode["draining"]:
            return Reply(503, headers=_DRAINING_HEADERS)
        if self.running >= self.slots:
            return Reply(503, headers=_OVERLOADED_HEADERS)
        self.running += 1
        try:
            return await self._run_request(target, headers, body)
        finally:
            self.running -= 1

    async def _run_request(self, target, headers, body):
        is_faulty = self._is_in_faulty_phase()
        self.served += 1
        started = trio.current_time()
        await trio.sleep(self._draw_duration(is_faulty))
        if is_faulty and self._rng.random() < self.mode["error_rate"]:
            return Reply(500, b"error")
        operation = headers.get("kumquatsaddle-operation")
        if operation:
            self.executions[operation] = self.executions.get(operation, 0) + 1
            text = body.decode()
            self.bodies[text] = self.bodies.get(text, 0) + 1
        cut = is_faulty and self._rng.random() < self.mode["cut_rate"]
        answer = {"server": self.name, "target": target, "echo": body.decode()}
        elapsed = trio.current_time() - started
        headers = [("Backend-Time-Us", str(int(elapsed * 1e6)))]
        return Reply(200, json.dumps(answer).encode(), headers, cut)

    def _is_in_faulty_phase(self):
        period = self.mode["flap_period"]
        return not period or int(trio.current_time() / period) % 2 == 0

    def _draw_duration(self, is_faulty):
        factor = self.mode["slow_factor"] if is_faulty else 1.0
        return self.work * factor * self._rng.lognormvariate(0, 0.25)


def main(arguments=None):
    """Run the server until it is terminated."""
    options = docopt(__doc__, argv=arguments)
    address = parse_address(options["--listen"])
    standin = BackendStandin(
        options["--name"],
        int(options["--slots"]),
        float(options["--work"]),
        int(options["--seed"]),
    )
    trio.run(serve_http, standin.handle, address.host, address.port)


if __name__ == "__main__":
    sys.exit(main())
