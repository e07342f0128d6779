"""Proxy for requests from callers, according to the published routes.

The host and the path of a request select its route. The balanced dispatcher selects a
backend server for it.
"""

from dataclasses import dataclass, replace

import trio

from kumquatsaddle.balance.requests import RoutedRequest
from kumquatsaddle.dispatch.answers import HOP_BY_HOP_HEADERS
from kumquatsaddle.entry.authentication import (
    AUTHORIZATION_HEADER,
    CHALLENGE,
    KeyRefusedError,
    authenticate,
)
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.types import KeyProblem, Outcome, RefusalReason

__all__ = ["CallerProtocol", "RoutedProxy", "make_routed_proxy"]

# Applies to a request without a valid deadline header.
_DEFAULT_TIMEOUT_SECONDS = 60.0
# The deadline of a request is this much earlier than that of its caller, so that the
# answer arrives in time.
_DEADLINE_MARGIN_SECONDS = 0.03
# Bounds the cost of int() on a header value.
_MAX_TIMEOUT_DIGITS = 9
# Retry-After of a refusal that names no time itself, by its reason.
_RETRY_AFTER_SECONDS = {
    RefusalReason.NOT_READY: 1.0,
    RefusalReason.KEYS_STALE: 1.0,
    RefusalReason.STOPPING: 0.1,
    RefusalReason.NO_BACKEND: 0.5,
    RefusalReason.BACKEND_SHED: 0.3,
    RefusalReason.BACKEND_UNREACHABLE: 0.3,
}


@dataclass(frozen=True, slots=True)
class CallerProtocol:
    """Names of the request headers that callers use, as bytes in lower case.

    Parameters
    ----------
    request_id : bytes
        Header with the id of a request, repeated in each answer by the fleet itself.
    deadline : bytes
        Header with the time in milliseconds that the caller waits for the answer.
    account : bytes
        Header with the client account, which only the fleet may set.
    """

    request_id: bytes
    deadline: bytes
    account: bytes = b""


class RoutedProxy:
    """Answers the requests of callers by the published routes.

    Parameters
    ----------
    protocol : CallerProtocol
    dispatcher : BalancedDispatcher
    get_routes : callable
        Returns the `RouteTable` in force, or None.
    choose_service : callable
        Returns the service of the next request of a route.
    get_arrival_delay : callable
        Returns how long ago a request that is read now may have arrived, in seconds.
    metrics : Metrics
    access : AccountAccess
    quotas : Quotas, optional
        Of client accounts.
    """

    def __init__(
        self,
        protocol,
        dispatcher,
        get_routes,
        choose_service,
        get_arrival_delay,
        metrics,
        access,
        quotas=None,
    ):
        self._protocol = protocol
        self._dispatcher = dispatcher
        self._get_routes = get_routes
        self._choose_service = choose_service
        self._get_arrival_delay = get_arrival_delay
        self._metrics = metrics
        self._access = access
        self._quotas = quotas

    async def answer(self, caller_request):
        """Return the answer to a request of a caller.

        Parameters
        ----------
        caller_request : CallerRequest

        Returns
        -------
        Answer
        """
        request_id = (
            _get_first_value(caller_request.headers, self._protocol.request_id) or b""
        )
        try:
            answer = await self._route_and_answer(caller_request, request_id)
        except Exception as error:
            # An error in the handling of one request must not stop the instance.
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
            answer = self._add_refusal_headers(answer, request_id)
        return answer

    def answer_head(self, caller_request):
        """Return the refusal of a request that needs no body for it, or None.

        Parameters
        ----------
        caller_request : CallerRequest
            Its body has not been read.
        """
        table = self._get_routes()
        try:
            self._check_head(caller_request, table)
        except RefusedError as error:
            request_id = (
                _get_first_value(caller_request.headers, self._protocol.request_id)
                or b""
            )
            self._metrics.count_refusal(error.reason)
            answer = self._refuse(request_id, error, table)
            return self._add_refusal_headers(answer, request_id)
        return None

    def allows_overlap(self, caller_request):
        """Return whether a request may run beside others of its connection.

        Parameters
        ----------
        caller_request : CallerRequest
        """
        table = self._get_routes()
        route = _match_route(table, caller_request) if table is not None else None
        return route is not None and route.idempotent

    async def _route_and_answer(self, caller_request, request_id):
        arrived = min(
            trio.current_time() - self._get_arrival_delay(), caller_request.arrived_at
        )
        table = self._get_routes()
        try:
            route, account, key_digest = self._check_head(caller_request, table)
        except RefusedError as error:
            return self._refuse(request_id, error, table)
        headers = _select_end_to_end_headers(caller_request.headers)
        if table.accounts is not None:
            headers = self._remove_account_headers(headers)
        timeout = self._read_timeout(caller_request.headers)
        request = RoutedRequest(
            request_id=request_id,
            method=caller_request.method,
            target=caller_request.target,
            headers=headers,
            body=caller_request.body,
            route=route,
            service=self._choose_service(route),
            arrived=arrived,
            deadline=arrived + min(timeout - _DEADLINE_MARGIN_SECONDS, route.timeout),
            account=account,
            key_digest=key_digest,
        )
        answer = await self._dispatch(request)
        if answer.reason is RefusalReason.UNAUTHORIZED:
            self._access.count_problem(KeyProblem.REVOKED)
        self._metrics.observe_latency(request.rank, trio.current_time() - arrived)
        return answer

    def _check_head(self, caller_request, table):
        """Return the route of a request, its account and the digest of its API key.

        Raises
        ------
        RefusedError
            If the request cannot run, whatever its body is.
        """
        if table is None:
            raise RefusedError(RefusalReason.NOT_READY)
        route = _match_route(table, caller_request)
        if route is None:
            raise RefusedError(RefusalReason.UNKNOWN_ROUTE)
        if table.accounts is None or route.public:
            return route, None, None
        return route, *self._authenticate(caller_request, table)

    def _authenticate(self, caller_request, table):
        """Return the account of a request and the digest of its API key.

        Raises
        ------
        RefusedError
            If the key is not accepted, or if the keys known here are too old.
        """
        self._access.check_age()
        try:
            return authenticate(caller_request.headers, table.accounts)
        except KeyRefusedError as error:
            self._access.count_problem(error.problem)
            raise

    async def _dispatch(self, request):
        """Dispatch a request within the quota of its account."""
        account = request.account
        if account is None or self._quotas is None:
            return await self._dispatcher.dispatch(request)
        try:
            await self._quotas.admit(account, request.deadline, request.request_id)
        except RefusedError as error:
            # The quotas write a bounded number of log lines.
            return Answer.from_reason(error.reason, retry_after=error.retry_after)
        answer = await self._dispatcher.dispatch(request)
        if answer.outcome is Outcome.NOT_RUN:
            self._quotas.give_back(account)
        return answer

    def _refuse(self, request_id, error, table):
        """Log a `RefusedError` and return the answer to the request."""
        log_event(
            "request_refused",
            id=request_id.decode("latin-1"),
            reason=error.reason.value,
            detail=error.detail,
            version=table.version if table is not None else "",
        )
        return Answer.from_reason(error.reason)

    def _remove_account_headers(self, headers):
        """Return headers without the API key and the account that the caller sent."""
        removed = (AUTHORIZATION_HEADER, self._protocol.account)
        return [item for item in headers if item[0] not in removed]

    def _read_timeout(self, headers):
        value = _get_first_value(headers, self._protocol.deadline) or b""
        if not value.isdigit() or len(value) > _MAX_TIMEOUT_DIGITS:
            return _DEFAULT_TIMEOUT_SECONDS
        return int(value) / 1000

    def _add_refusal_headers(self, answer, request_id):
        """Return an answer by the fleet itself with its request id and Retry-After."""
        headers = list(answer.headers)
        if request_id:
            headers.append((self._protocol.request_id, request_id))
        if answer.reason is RefusalReason.UNAUTHORIZED:
            headers.append(CHALLENGE)
        seconds = answer.retry_after
        if answer.outcome is Outcome.NOT_RUN and seconds is None:
            seconds = _RETRY_AFTER_SECONDS.get(answer.reason)
        return replace(answer, headers=tuple(headers), retry_after=seconds)


def make_routed_proxy(
    protocol,
    dispatcher,
    get_routes,
    choose_service,
    get_arrival_delay,
    metrics,
    access,
    quotas=None,
):
    """Return a proxy for the published routes; see `RoutedProxy`."""
    return RoutedProxy(
        protocol,
        dispatcher,
        get_routes,
        choose_service,
        get_arrival_delay,
        metrics,
        access,
        quotas,
    )


def _match_route(table, caller_request):
    """Return the route of a request, or None if there is none."""
    host = _get_first_value(caller_request.headers, b"host") or b""
    path = caller_request.target.partition("?")[0]
    return table.match_route(host.decode("latin-1"), path)


def _get_first_value(headers, wanted_name):
    for name, value in headers:
        if name == wanted_name:
            return bytes(value)
    return None


def _select_end_to_end_headers(headers):
    """Return the headers to forward, which include the host."""
    hop_by_hop = set()
    for name, value in headers:
        if name == b"connection":
            hop_by_hop |= {token.strip().lower() for token in value.split(b",")}
    dropped = HOP_BY_HOP_HEADERS | hop_by_hop
    return [
        (bytes(name), bytes(value)) for name, value in headers if name not in dropped
    ]
