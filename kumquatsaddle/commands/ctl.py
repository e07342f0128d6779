"""Change and inspect the configuration of the fleet.

Usage:
  kumquatsaddle-ctl (create|edit) KIND NAME [FIELD=VALUE ...] [--file=FILE] [options]
  kumquatsaddle-ctl show KIND NAME [options]
  kumquatsaddle-ctl list KIND [--prefix=TEXT] [options]
  kumquatsaddle-ctl delete KIND NAME [options]
  kumquatsaddle-ctl history KIND NAME [options]
  kumquatsaddle-ctl diff KIND NAME [--from=VERSION] [--to=VERSION] [options]
  kumquatsaddle-ctl withdraw KIND NAME [options]
  kumquatsaddle-ctl validate FILE [options]
  kumquatsaddle-ctl versions [options]
  kumquatsaddle-ctl (drain|undrain) BACKEND [--reason=TEXT] [options]
  kumquatsaddle-ctl explain ACCOUNT METHOD PATH [options]
  kumquatsaddle-ctl status [options]
  kumquatsaddle-ctl fatal-requests [options]
  kumquatsaddle-ctl unblock DIGEST [options]
  kumquatsaddle-ctl prune --settings=FILE [options]
  kumquatsaddle-ctl (-h | --help)
  kumquatsaddle-ctl --version

KIND is service, template or account. The value of a field is JSON; other text is taken
as a string, and FIELD= without a value removes the field. A file holds the JSON object
of the entity; - reads it from standard input. For validate, the file holds a list of
objects with kind, name and value, and no instance is contacted. withdraw prevents an
edit with an unknown result from taking effect later; it needs --change-id. prune
deletes claims on idempotency keys older than 24 hours from the platform's table.
status shows whether an instance is ready, which routes are in force, and why it has
none or has refused newer ones. fatal-requests lists the contents of requests that are
blocked because backend servers ended under them, and unblock lets one be sent again.
These three ask instances that serve published routes.

Options:
  --node=ADDRESSES   Operators' addresses host:port, tried in order
                     [default: 127.0.0.1:8002].
  --token-file=FILE  File with the bearer token of the operators' API.
  --operator=NAME    Name of the operator, recorded with the change.
  --change-id=ID     Id of an earlier attempt whose result is not known.
  --at=VERSION       Version of the entity that the edit is based on; needed to
                     repeat an edit or a deletion with --change-id.
  --file=FILE        JSON file of the entity, - for standard input.
  --prefix=TEXT      Lists only names that start with this text.
  --from=VERSION     Older version [default: 0].
  --to=VERSION       Newer version; default: the latest.
  --reason=TEXT      Reason, recorded with a drain.
  --settings=FILE    Settings file of an instance, for the address of
                     the platform.
  --json             Print JSON.
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 other error, 2 invalid settings, 3 invalid value, 5 platform or
instances not available, 6 version conflict, 7 refused, 9 not written, 10 result
unknown: repeat the command with the change id.
"""

import json
import sys
import time
from urllib.parse import quote, urlencode

import trio
from docopt import docopt

from kumquatsaddle import __version__
from kumquatsaddle.commands.client import make_client
from kumquatsaddle.commands.offline import (
    apply_fields,
    load_json,
    prune_claims,
    validate_file,
)
from kumquatsaddle.configuration.changes import make_change_id
from kumquatsaddle.exceptions import (
    ChangeUnknownError,
    ConfigurationError,
    KumquatsaddleError,
)
from kumquatsaddle.registries import Registry
from kumquatsaddle.settings.files import load_settings
from kumquatsaddle.storage.interface import make_platform

__all__ = ["main"]

commands = Registry("command")
_KINDS = ("service", "template", "account")
_LIST_PAGE_SIZE = 1000


def main(arguments=None):
    """Run the command; return its exit code."""
    options = docopt(__doc__, argv=arguments, version=__version__)
    name = next(word for word in commands.names() if options[word])
    try:
        result = commands.get(name)(options)
    except KumquatsaddleError as error:
        _print_error(options, error)
        return error.exit_code
    if options["--json"]:
        print(json.dumps(result, indent=2))
    else:
        _print_plain(result)
    return 0


@commands.register("create")
def _create(options):
    value = apply_fields(_load_value(options) or {}, options["FIELD=VALUE"])
    return _put_entity(options, value, None)


@commands.register("edit")
def _edit(options):
    _require_base_version(options)
    current = _send_idempotent(options, "GET", _entity_path(options))
    value = _load_value(options)
    if value is None:
        value = current["value"]
    version = _parse_version(options, "--at", current["version"])
    return _put_entity(options, apply_fields(value, options["FIELD=VALUE"]), version)


@commands.register("show")
def _show(options):
    return _send_idempotent(options, "GET", _entity_path(options))


@commands.register("list")
def _list(options):
    entries, after = [], ""
    while after is not None:
        query = urlencode(
            {
                "prefix": options["--prefix"] or "",
                "after": after,
                "limit": _LIST_PAGE_SIZE,
            }
        )
        page = _send_idempotent(options, "GET", f"{_parse_kind(options)}s?{query}")
        entries += page["entities"]
        after = page["next"]
    return {"entities": entries}


@commands.register("delete")
def _delete(options):
    _require_base_version(options)
    version = _parse_version(options, "--at", None)
    if version is None:
        version = _send_idempotent(options, "GET", _entity_path(options))["version"]
    return _send_change(options, "DELETE", _entity_path(options), None, version)


@commands.register("history")
def _history(options):
    return _send_idempotent(options, "GET", f"{_entity_path(options)}/history")


@commands.register("diff")
def _diff(options):
    query = {"from": _parse_version(options, "--from", 0)}
    if options["--to"]:
        query["to"] = _parse_version(options, "--to", 0)
    path = f"{_entity_path(options)}/diff?{urlencode(query)}"
    return _send_idempotent(options, "GET", path)


@commands.register("withdraw")
def _withdraw(options):
    if not options["--change-id"]:
        raise ConfigurationError("is needed to withdraw a change", "--change-id")
    value = {
        "kind": _parse_kind(options),
        "name": options["NAME"],
        "change_id": options["--change-id"],
    }
    return _send_idempotent(options, "POST", "withdraw", value)


@commands.register("validate")
def _validate(options):
    return {"valid": validate_file(options["FILE"])}


@commands.register("versions")
def _versions(options):
    return _send_idempotent(options, "GET", "versions")


@commands.register("drain")
def _drain(options):
    query = urlencode({"reason": options["--reason"] or ""})
    path = f"backends/{quote(options['BACKEND'], safe='')}/drain?{query}"
    return _send_change(options, "POST", path, None, None)


@commands.register("undrain")
def _undrain(options):
    path = f"backends/{quote(options['BACKEND'], safe='')}/undrain"
    return _send_change(options, "POST", path, None, None)


@commands.register("explain")
def _explain(options):
    query = urlencode(
        {
            "account": options["ACCOUNT"],
            "method": options["METHOD"],
            "path": options["PATH"],
        }
    )
    return _send_idempotent(options, "GET", f"explain?{query}")


@commands.register("status")
def _show_status(options):
    return _send_idempotent(options, "GET", "status")


@commands.register("fatal-requests")
def _list_fatal_requests(options):
    return _send_idempotent(options, "GET", "fatal-requests")


@commands.register("unblock")
def _unblock(options):
    path = f"fatal-requests/{quote(options['DIGEST'], safe='')}"
    return _send_idempotent(options, "DELETE", path)


@commands.register("prune")
def _prune(options):
    settings = load_settings(options["--settings"])

    async def run():
        return await prune_claims(make_platform(settings), time.time())

    return {"removed": trio.run(run)}


def _put_entity(options, value, version):
    return _send_change(options, "PUT", _entity_path(options), value, version)


def _send_change(options, method, path, value, version):
    """Send a change with the given change id, or with a new one."""
    given_id = options["--change-id"]
    change_id = given_id or make_change_id()
    headers = {"Kumquatsaddle-Change-Id": change_id}
    if version is None:
        headers["If-None-Match"] = "*"
    else:
        headers["If-Match"] = f'"{version}"'
    if options["--operator"]:
        headers["Kumquatsaddle-Operator"] = options["--operator"]
    client = make_client(options["--node"], options["--token-file"])
    try:
        return client.send_change(method, path, value, headers, bool(given_id))
    except ChangeUnknownError as error:
        at_option = "" if version is None else f" --at={version}"
        text = f"{error}; repeat the command with --change-id={change_id}{at_option}"
        raise ChangeUnknownError(text) from None


def _require_base_version(options):
    """Check that a repeated change names the version the first attempt was based on."""
    if options["--change-id"] and options["--at"] is None:
        raise ConfigurationError("is needed with --change-id", "--at")


def _send_idempotent(options, method, path, value=None):
    client = make_client(options["--node"], options["--token-file"])
    return client.send_idempotent(method, path, value)


def _load_value(options):
    return load_json(options["--file"]) if options["--file"] else None


def _entity_path(options):
    return f"{_parse_kind(options)}s/{quote(options['NAME'], safe='')}"


def _parse_kind(options):
    kind = options["KIND"].removesuffix("s")
    if kind not in _KINDS:
        known = ", ".join(_KINDS)
        raise ConfigurationError(f"{kind!r} is not one of {known}", "KIND")
    return kind


def _parse_version(options, key, default):
    text = options[key]
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()):
        raise ConfigurationError(f"{text!r} is not a version", key)
    return int(text)


def _print_error(options, error):
    if options["--json"]:
        value = {"error": str(error), "exit_code": error.exit_code}
        field = getattr(error, "field", None)
        print(json.dumps({**value, "field": field}, indent=2))
    print(f"kumquatsaddle-ctl: {error}", file=sys.stderr)


def _print_plain(result):
    for key, value in result.items():
        if isinstance(value, list):
            for entry in value:
                print(json.dumps(entry))
        else:
            text = value if isinstance(value, str) else json.dumps(value)
            print(f"{key}: {text}")


if __name__ == "__main__":
    sys.exit(main())
