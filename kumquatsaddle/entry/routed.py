"""Answers callers by the published routes.

The host and the path of a request select its route; the balanced dispatcher finds a
backend server for it.
"""

from dataclasses import dataclass

import trio

from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.dispatch.connections import HOP_HEADERS
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["CallerProtocol", "RoutedProxy", "make_routed_proxy"]

# Time in seconds that a caller without a deadline is given.
_DEFAULT_DEADLINE = 60.0
# Time in seconds by which an answer is given before the deadline of its caller, so
# that it arrives in time.
_DEADLINE_MARGIN = 0.03
# Longest number in a header; keeps int() cheap.
_MAX_DIGITS = 9
_RETRY_AFTER = b"Retry-After"
# Time in seconds after which a refused caller may come back, by reason.
_RETRY_TIMES = {
    RefusalReason.NOT_READY: 1.0,
    RefusalReason.NO_BACKEND: 0.5,
    RefusalReason.BACKEND_SHED: 0.3,
    RefusalReason.BACKEND_UNREACHABLE: 0.3,
}


@dataclass(frozen=True, slots=True)
class CallerProtocol:
    """Names of the headers that callers send, bytes in lower case.

    Parameters
    ----------
    request_id : bytes
        Repeated in each answer of the fleet.
    deadline : bytes
        Milliseconds that the caller waits.
    """

    request_id: bytes
    deadline: bytes


class RoutedProxy:
    """Answers the requests of callers.

    Parameters
    ----------
    protocol : CallerProtocol
    dispatcher : BalancedDispatcher
    find_routes : callable
        Returns the `RouteTable` in force, or None.
    choose_service : callable
        Returns the service of the next request of a route.
    measure_pause : callable
        Returns how long ago bytes that are read now may have arrived, in seconds.
    metrics : Metrics
    """

    def __init__(
        self, protocol, dispatcher, find_routes, choose_service, measure_pause, metrics
    ):
        self._protocol = protocol
        self._dispatcher = dispatcher
        self._find_routes = find_routes
        self._choose_service = choose_service
        self._measure_pause = measure_pause
        self._metrics = metrics

    async def answer(self, caller_request):
        """Return the answer to a request of a caller.

        Parameters
        ----------
        caller_request : CallerRequest

        Returns
        -------
        Answer
        """
        request_id = _find(caller_request.headers, self._protocol.request_id) or b""
        try:
            answer = await self._answer(caller_request, request_id)
        except Exception as error:
            # A fault in the handling of one request must not end the instance.
            log_event(
                "request_failed",
                level="ERROR",
                id=request_id.decode("latin-1"),
                error=repr(error),
            )
            answer = Answer.unknown(RefusalReason.INTERNAL_ERROR)
        if answer.reason is not None:
            self._metrics.count_refusal(answer.reason)
        if answer.outcome is not Outcome.DONE:
            answer = self._complete_refusal(answer, request_id)
        return answer

    async def _answer(self, caller_request, request_id):
        arrived = trio.current_time() - self._measure_pause()
        table = self._find_routes()
        if table is None:
            return self._refuse(request_id, RefusalReason.NOT_READY)
        host = _find(caller_request.headers, b"host") or b""
        path = caller_request.target.partition("?")[0]
        route = table.match_route(host.decode("latin-1"), path)
        if route is None:
            return self._refuse(request_id, RefusalReason.UNKNOWN_ROUTE, table.version)
        patience = self._read_deadline(caller_request.headers)
        request = RoutedRequest(
            request_id=request_id,
            method=caller_request.method,
            target=caller_request.target,
            headers=_end_to_end(caller_request.headers),
            body=caller_request.body,
            route=route,
            service=self._choose_service(route),
            arrived=arrived,
            deadline=arrived + min(patience - _DEADLINE_MARGIN, route.timeout),
        )
        answer = await self._dispatcher.dispatch(request)
        self._metrics.observe_latency(route.rank, trio.current_time() - arrived)
        return answer

    def _refuse(self, request_id, reason, version=""):
        log_event(
            "request_refused",
            id=request_id.decode("latin-1"),
            reason=reason.value,
            version=version,
        )
        return Answer.refuse(reason)

    def _read_deadline(self, headers):
        value = _find(headers, self._protocol.deadline) or b""
        if not value.isdigit() or len(value) > _MAX_DIGITS:
            return _DEFAULT_DEADLINE
        return int(value) / 1000

    def _complete_refusal(self, answer, request_id):
        """Return an answer of the fleet with the id of its request."""
        headers = list(answer.headers)
        if request_id:
            headers.append((self._protocol.request_id, request_id))
        if answer.outcome is Outcome.NOT_RUN and answer.reason in _RETRY_TIMES:
            seconds = _RETRY_TIMES[answer.reason]
            headers.append((_RETRY_AFTER, b"%.1f" % seconds))
        return Answer(
            answer.outcome,
            answer.status,
            tuple(headers),
            answer.body,
            answer.reason,
            answer.operation,
        )


def make_routed_proxy(
    protocol, dispatcher, find_routes, choose_service, measure_pause, metrics
):
    """Return a proxy by the published routes; see `RoutedProxy`."""
    return RoutedProxy(
        protocol, dispatcher, find_routes, choose_service, measure_pause, metrics
    )


def _find(headers, wanted):
    for name, value in headers:
        if name == wanted:
            return bytes(value)
    return None


def _end_to_end(headers):
    """Return the headers that are forwarded; the host is one of them."""
    named = set()
    for name, value in headers:
        if name == b"connection":
            named |= {word.strip().lower() for word in value.split(b",")}
    dropped = HOP_HEADERS | named
    return [
        (bytes(name), bytes(value)) for name, value in headers if name not in dropped
    ]
