"""The operators' API on the configuration, independent of the HTTP server.

Each endpoint is a function registered with its method and path pattern; ``*`` in a
pattern matches any segment, and ``KIND`` matches the path of a kind of entity. Errors
name the field and have one of the outcomes ``invalid``, ``conflict``, ``not-written``
and ``unknown``.
"""

import json
from dataclasses import asdict, dataclass, field

import trio

from kumquatsaddle.configuration.changes import check_change_id
from kumquatsaddle.configuration.commits import (
    Edit,
    check_edit,
    commit_edit,
    read_history,
    withdraw_edit,
)
from kumquatsaddle.configuration.values import dump_entity
from kumquatsaddle.dispatch.peers import PeerError
from kumquatsaddle.exceptions import (
    ChangeUnknownError,
    ConfigurationError,
    ConflictError,
    PlatformError,
)
from kumquatsaddle.types import OperatorRefusal

__all__ = ["ApiRequest", "ApiReply", "answer_api", "diff_values"]

KIND_OF_PATH = {
    "services": "service",
    "templates": "template",
    "accounts": "account",
    "drains": "drain",
}
# Default size of a list, highest limit of a history, and number of changes of an entity
# that a diff considers.
_DEFAULT_LISTED = 100
_MAX_LISTED = 1000
_MAX_VALIDATED_ENTITIES = 1000
# A peer whose last reported version is older is asked for its version.
_MAX_VERSION_AGE_SECONDS = 5.0
_MAX_CONCURRENT_FETCHES = 20
_MAX_DRAIN_ATTEMPTS = 5
# Above every version, so that a peer replies with its version and no changes.
_NO_CHANGES_AFTER = 1 << 62
_ENDPOINTS = []


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """A request below ``/api/v1``.

    Parameters
    ----------
    method : str
    segments : tuple of str
        Segments of the path below ``/api/v1``.
    query, headers : dict of str to str
        Names of headers are in lower case.
    body : bytes
    """

    method: str
    segments: tuple[str, ...]
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ApiReply:
    """Status and JSON value of a reply."""

    status: int
    value: dict


def _endpoint(method, *pattern):
    def decorate(function):
        _ENDPOINTS.append((method, pattern, function))
        return function

    return decorate


async def answer_api(distribution, request):
    """Return the reply to a request; errors become error replies.

    Parameters
    ----------
    distribution : Distribution
    request : ApiRequest

    Returns
    -------
    ApiReply
    """
    try:
        reply = await _dispatch(distribution, request)
    except ConfigurationError as error:
        reply = _make_refusal(400, OperatorRefusal.INVALID, error.problem, error.field)
    except ConflictError as error:
        reply = _make_refusal(409, OperatorRefusal.CONFLICT, str(error))
    except ChangeUnknownError as error:
        reply = _make_refusal(504, OperatorRefusal.UNKNOWN, str(error))
    except PlatformError as error:
        reply = _make_refusal(503, OperatorRefusal.NOT_WRITTEN, str(error))
    if reply.status >= 400:
        reason = reply.value.get("outcome", OperatorRefusal.INVALID.value)
        distribution.metrics.count("operator_refusals", reason=reason)
    return reply


def diff_values(old, new, field_path=""):
    """Return the fields in which two JSON values differ.

    Parameters
    ----------
    old, new : object
        JSON values; None for an absent entity.
    field_path : str
        Path of the field that has the values.

    Returns
    -------
    list of dict
        ``field``, ``old`` and ``new`` of each difference.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        found = []
        for key in sorted({*old, *new}):
            inner = f"{field_path}.{key}" if field_path else key
            found += diff_values(old.get(key), new.get(key), inner)
        return found
    if old == new:
        return []
    return [{"field": field_path, "old": old, "new": new}]


async def _dispatch(distribution, request):
    allowed = set()
    for method, pattern, function in _ENDPOINTS:
        if _matches(pattern, request.segments):
            if method == request.method:
                return await function(distribution, request, *request.segments)
            allowed.add(method)
    if allowed:
        listed = ", ".join(sorted(allowed))
        return _make_refusal(
            405, OperatorRefusal.INVALID, f"allowed: {listed}", "method"
        )
    return _make_refusal(404, OperatorRefusal.INVALID, "no such resource", "path")


def _matches(pattern, segments):
    if len(pattern) != len(segments):
        return False
    for expected, segment in zip(pattern, segments, strict=True):
        if expected == "KIND" and segment not in KIND_OF_PATH:
            return False
        if expected not in ("*", "KIND", segment):
            return False
    return True


@_endpoint("GET", "KIND")
async def _list_entities(distribution, request, path):
    entities = distribution.configuration.entities(KIND_OF_PATH[path])
    prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
    limit = _parse_integer(request.query, "limit", _DEFAULT_LISTED, _MAX_LISTED)
    names = sorted(n for n in entities if n.startswith(prefix) and n > after)
    listed = [{"name": n, "version": entities[n].version} for n in names[:limit]]
    next_after = names[limit - 1] if len(names) > limit else None
    value = {"version": distribution.version, "entities": listed, "next": next_after}
    return ApiReply(200, value)


@_endpoint("GET", "KIND", "*")
async def _get_entity(distribution, request, path, name):
    kind, configuration = KIND_OF_PATH[path], distribution.configuration
    entity = configuration.entities(kind).get(name)
    version = configuration.version_of(kind, name)
    value = {"kind": kind, "name": name, "version": version}
    if entity is None:
        return ApiReply(404, {**value, "error": "does not exist", "field": path})
    return ApiReply(200, {**value, "value": dump_entity(entity)})


@_endpoint("PUT", "KIND", "*")
async def _put_entity(distribution, request, path, name):
    value = _read_json(request.body)
    if not isinstance(value, dict):
        raise ConfigurationError("is not an object", f"{path}/{name}")
    return await _commit_value(distribution, request, KIND_OF_PATH[path], name, value)


@_endpoint("DELETE", "KIND", "*")
async def _delete_entity(distribution, request, path, name):
    return await _commit_value(distribution, request, KIND_OF_PATH[path], name, None)


@_endpoint("GET", "KIND", "*", "history")
async def _get_history(distribution, request, path, name, _):
    limit = _parse_integer(request.query, "limit", 20, _DEFAULT_LISTED)
    changes = await read_history(distribution, KIND_OF_PATH[path], name, limit)
    return ApiReply(200, {"changes": [asdict(change) for change in changes]})


@_endpoint("GET", "KIND", "*", "diff")
async def _get_diff(distribution, request, path, name, _):
    changes = await read_history(
        distribution, KIND_OF_PATH[path], name, _DEFAULT_LISTED
    )
    newest = distribution.version
    old = _value_at(changes, _parse_integer(request.query, "from", 0, newest, 0))
    new = _value_at(changes, _parse_integer(request.query, "to", newest, newest, 0))
    return ApiReply(200, {"differences": diff_values(old, new)})


@_endpoint("POST", "validate")
async def _validate(distribution, request, _):
    body = _read_json(request.body)
    entries = body.get("entities", [body]) if isinstance(body, dict) else None
    if not isinstance(entries, list) or len(entries) > _MAX_VALIDATED_ENTITIES:
        raise ConfigurationError("is not a list", "entities")
    copy = distribution.configuration.copy()
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict):
            raise ConfigurationError("is not an object", f"entities[{index}]")
        kind, name, value = (entry.get(key) for key in ("kind", "name", "value"))
        if not isinstance(name, str):
            raise ConfigurationError("is missing", f"entities[{index}].name")
        expected = copy.version_of(kind, name)
        check_edit(copy, Edit(kind, name, value, expected))
        copy.set_entity(kind, name, value, copy.version + 1)
    return ApiReply(200, {"valid": len(entries)})


@_endpoint("POST", "withdraw")
async def _withdraw(distribution, request, _):
    body = _read_json(request.body)
    if not isinstance(body, dict):
        raise ConfigurationError("is not an object", "body")
    kind, name, change_id = (body.get(key) for key in ("kind", "name", "change_id"))
    if not change_id:
        raise ConfigurationError("is missing", "change_id")
    check_change_id(change_id)
    if not isinstance(name, str):
        raise ConfigurationError("is missing", "name")
    distribution.configuration.entities(kind)
    operator = request.headers.get("kumquatsaddle-operator", "")
    change = await withdraw_edit(distribution, kind, name, change_id, operator)
    if change is None:
        return ApiReply(200, {"outcome": "not-written", "change_id": change_id})
    return _make_accepted_reply(change)


@_endpoint("GET", "versions")
async def _get_versions(distribution, request, _):
    now = trio.current_time()
    entries = {}
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_FETCHES)

    async def fetch_version(address, name):
        async with limiter:
            try:
                reply = await distribution.transport.fetch(
                    address, _NO_CHANGES_AFTER, False
                )
                entries[name] = {"version": reply.version, "age": 0.0}
            except PeerError as error:
                entries.setdefault(name, {})["error"] = str(error)

    async with trio.open_nursery() as nursery:
        for name, address in distribution.transport.live_members().items():
            version, heard_at = distribution.peer_versions.get(name, (None, 0.0))
            if version is not None:
                age = now - heard_at
                entries[name] = {"version": version, "age": round(age, 3)}
            if version is None or age > _MAX_VERSION_AGE_SECONDS:
                nursery.start_soon(fetch_version, address, name)
    own = {"version": distribution.version, "own": True, "age": 0.0}
    return ApiReply(
        200, {"version": distribution.version, "own": own, "peers": entries}
    )


@_endpoint("POST", "backends", "*", "drain")
async def _drain(distribution, request, _, name, __):
    reason = request.query.get("reason", "")
    return await _set_drain(distribution, request, name, {"reason": reason})


@_endpoint("POST", "backends", "*", "undrain")
async def _undrain(distribution, request, _, name, __):
    return await _set_drain(distribution, request, name, None)


async def _set_drain(distribution, request, name, value):
    """Drain or undrain a backend server, regardless of the version of its drain."""
    # A server that is not listed may be drained, because the list may be out of date.
    listed = any(entry.name == name for entry in distribution.backends or ())
    for attempt in range(_MAX_DRAIN_ATTEMPTS):
        configuration = distribution.configuration
        if (name in configuration.drains) == (value is not None):
            value = {"outcome": "accepted", "changed": False, "listed": listed}
            return ApiReply(200, value)
        expected = configuration.version_of("drain", name)
        edit = _make_edit(request, "drain", name, value, expected)
        try:
            reply = _make_accepted_reply(await commit_edit(distribution, edit))
            return ApiReply(200, {**reply.value, "listed": listed})
        except ConflictError:
            if attempt + 1 == _MAX_DRAIN_ATTEMPTS:
                raise
    raise ConflictError(f"drains/{name} changed during every attempt")


async def _commit_value(distribution, request, kind, name, value):
    expected = _parse_expected_version(request.headers)
    edit = _make_edit(request, kind, name, value, expected)
    return _make_accepted_reply(await commit_edit(distribution, edit))


def _make_edit(request, kind, name, value, expected):
    headers = request.headers
    return Edit(
        kind,
        name,
        value,
        expected,
        headers.get("kumquatsaddle-change-id", ""),
        headers.get("kumquatsaddle-operator", "")[:100],
        headers.get("kumquatsaddle-repeated", "") == "1",
    )


def _parse_expected_version(headers):
    if headers.get("if-none-match", "").strip() == "*":
        return None
    text = headers.get("if-match", "").strip().strip('"')
    if not (text.isascii() and text.isdigit() and len(text) < 12):
        raise ConfigurationError(
            "is not the version of the entity; a new entity needs If-None-Match: *",
            "If-Match",
        )
    return int(text)


def _make_accepted_reply(change):
    return ApiReply(
        200,
        {
            "outcome": "accepted",
            "version": change.version,
            "change_id": change.change_id,
            "changed": True,
        },
    )


def _make_refusal(status, outcome, error, field_path=None):
    value = {"outcome": outcome.value, "error": error, "field": field_path}
    return ApiReply(status, value)


def _value_at(changes, version):
    """Return the value of an entity at a version, from its changes, latest first."""
    for change in changes:
        if change.version <= version:
            return change.value
    return None


def _parse_integer(query, key, default, highest, lowest=1):
    text = query.get(key)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 12):
        raise ConfigurationError(f"{text[:40]!r} is not a whole number", key)
    if not lowest <= int(text) <= highest:
        raise ConfigurationError(f"{text} is outside {lowest} to {highest}", key)
    return int(text)


def _read_json(body):
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        raise ConfigurationError("is not JSON", "body") from None
