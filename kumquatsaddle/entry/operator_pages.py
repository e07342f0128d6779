"""Operators' API of an instance that serves published routes.

It tells whether the instance is ready and which routes are in force. It lists the
requests that are blocked because backend servers ended under them, and lets operators
unblock one. Changes need the token of the settings.
"""

import hmac
import json
from dataclasses import asdict

from kumquatsaddle.exchange import Answer
from kumquatsaddle.logs import log_event
from kumquatsaddle.settings.files import read_secret
from kumquatsaddle.types import OperatorRefusal, Outcome, RequestDigest

__all__ = [
    "FatalRequestsPage",
    "PageSwitch",
    "StatusPage",
    "make_fatal_requests_page",
    "make_status_page",
]

_PATH = "/api/v1/fatal-requests"
_STATUS_PATH = "/api/v1/status"
_BEARER = b"Bearer "
_DIGEST_BASE = 16
_JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class FatalRequestsPage:
    """Lists and unblocks requests under which backend servers ended.

    Parameters
    ----------
    records : EndRecords
    token : bytes or None
        None refuses all changes.
    """

    def __init__(self, records, token):
        self._records = records
        self._token = token

    def allows_overlap(self, caller_request):
        """Return True: no request changes what another one of its connection reads."""
        return True

    async def answer(self, caller_request):
        """Return the answer to ``GET`` of the list or ``DELETE`` of one digest."""
        path = caller_request.target.partition("?")[0]
        if caller_request.method == "GET" and path == _PATH:
            return self._list()
        if caller_request.method == "DELETE" and path.startswith(f"{_PATH}/"):
            return self._unblock(caller_request, path.removeprefix(f"{_PATH}/"))
        return _reply(404, {"error": f"no {caller_request.method} {path}"})

    def _list(self):
        blocked = self._records.fatal_requests.list_blocked()
        entries = [
            {"digest": f"{digest:016x}", "backends": list(servers)}
            for digest, servers in blocked.items()
        ]
        return _reply(200, {"fatal_requests": entries})

    def _unblock(self, caller_request, text):
        refusal = self._check_token(caller_request)
        if refusal is not None:
            error = {"error": refusal.value, "outcome": refusal.value}
            return _reply(403, error)
        try:
            digest = RequestDigest(int(text, _DIGEST_BASE))
        except ValueError:
            return _reply(400, {"error": f"{text[:40]!r} is not a digest"})
        if not self._records.clear(digest):
            return _reply(404, {"error": f"{text} is not blocked here"})
        log_event("request_unblocked", level="WARNING", digest=text)
        return _reply(200, {"unblocked": text})

    def _check_token(self, caller_request):
        """Return why a change is refused, or None."""
        if self._token is None:
            return OperatorRefusal.NO_TOKEN
        given = dict(caller_request.headers).get(b"authorization", b"")
        expected = _BEARER + self._token
        if hmac.compare_digest(bytes(given), expected):
            return None
        return OperatorRefusal.UNAUTHORIZED


class StatusPage:
    """Tells whether the instance is ready, which routes are in force, and why not.

    Parameters
    ----------
    describe_status : callable
        Returns the `InstanceStatus`.
    """

    def __init__(self, describe_status):
        self._describe_status = describe_status

    def allows_overlap(self, caller_request):
        """Return True: no request changes what another one of its connection reads."""
        return True

    async def answer(self, caller_request):
        """Return the answer to ``GET``."""
        path = caller_request.target.partition("?")[0]
        if caller_request.method != "GET" or path != _STATUS_PATH:
            return _reply(404, {"error": f"no {caller_request.method} {path}"})
        return _reply(200, asdict(self._describe_status()))


class PageSwitch:
    """Serves several pages at one address: the first one that knows a path answers.

    Parameters
    ----------
    pages : sequence
        Objects with an async ``answer(caller_request)``.
    """

    def __init__(self, pages):
        self._pages = pages

    def allows_overlap(self, caller_request):
        """Return True: no request changes what another one of its connection reads."""
        return True

    async def answer(self, caller_request):
        """Return the first answer that is not status 404."""
        for page in self._pages:
            answer = await page.answer(caller_request)
            if answer.status != 404:
                break
        return answer


def make_status_page(describe_status):
    """Return the page; see `StatusPage`."""
    return StatusPage(describe_status)


def make_fatal_requests_page(records, settings):
    """Return the page with the token of the settings; see `FatalRequestsPage`."""
    token_file = settings.get("secrets", "operator_token_file")
    token = None
    if token_file:
        token = read_secret(settings, "secrets", "operator_token_file", token_file)
    return FatalRequestsPage(records, token)


def _reply(status, value):
    return Answer(Outcome.DONE, status, _JSON_HEADERS, json.dumps(value).encode())
