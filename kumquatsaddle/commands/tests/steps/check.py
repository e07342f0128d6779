import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from behave import then

from kumquatsaddle.commands import check
from kumquatsaddle.testing.operators import write_settings


def run_check(file, *arguments):
    """Run the command; return exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        code = check.main([f"--settings={file}", *arguments])
    return code, out.getvalue(), err.getvalue()


@then("a valid settings file prints nothing, and its values with --verbose")
def check_valid(context):
    with tempfile.TemporaryDirectory() as folder:
        file, token = write_settings(folder, "127.0.36.1")
        assert run_check(file) == (0, "", "")
        code, out, _ = run_check(file, "--verbose")
        assert code == 0 and "[instance] id = one" in out
        assert token.read_text() not in out


@then("each invalid settings file is refused with file, section and key")
def check_invalid_settings(context):
    cases = [
        ("id = one", "id = a b", "instance", "id"),
        ("id = one", "", "instance", "id"),
        ("zone = a", "zone = a\nzone = b", "instance", "zone"),
        ("zone = a", "zome = a", "instance", "zome"),
        ("kind = memory", "kind = disk", "platform", "kind"),
        ("kind = memory", "kind = http", "platform", "url"),
        ("notice = 0 s", "notice = nan", "stop", "notice"),
        ("notice = 0 s", "notice = 1e99", "stop", "notice"),
        ("notice = 0 s", "notice = -1 s", "stop", "notice"),
        ("floor = 0.5", "floor = 2", "service:lookup", "floor"),
        ("floor = 0.5", "floor = [", "service:lookup", "floor"),
        ("floor = 0.5", "size = 2", "service:lookup", "size"),
        ("template = crew", "template = none", "account:shop", "template"),
        ('"rate": 5', '"rate": -5', "template:crew", "limits.lookup.rate"),
        ("service = lookup", "service = none", "backend:b1", "service"),
        ("[backend:b1]", "[backend:b1]\nport = 1", "backend:b1", "port"),
        ("[stop]", "[halt]", "halt", ""),
        ("[backend:b1]", "[server:b1]", "server:b1", ""),
    ]
    with tempfile.TemporaryDirectory() as folder:
        file, token = write_settings(folder, "127.0.36.1")
        text = file.read_text()
        for old, new, section, key in cases:
            assert old in text, old
            file.write_text(text.replace(old, new, 1))
            code, out, err = run_check(file)
            assert code == 2 and not out, (new, code)
            assert str(file) in err and f"[{section}]" in err and key in err, err
            assert len(err.splitlines()) == 1, err
        for content in (b"\xff", b"no section", b"[a", b""):
            file.write_bytes(content)
            code, _, err = run_check(file)
            assert code == 2 and str(file) in err
        file.write_text(text)
        token.write_text("short")
        code, _, err = run_check(file)
        assert code == 2 and "[secrets] operator_token_file" in err
        assert "short" not in err.replace("shorter", "")
        assert run_check(Path(folder, "none.ini"))[0] == 2


@then("a problem in the configuration file is printed with its field")
def check_configuration(context):
    with tempfile.TemporaryDirectory() as folder:
        file, _ = write_settings(folder, "127.0.36.1")
        entities = Path(folder, "entities.json")
        entry = {"kind": "service", "name": "s", "value": {"slots": 0}}
        entities.write_text(json.dumps([entry]))
        code, _, err = run_check(file, f"--configuration={entities}")
        assert code == 3 and f"{entities}: services/s.slots" in err
        entities.write_text('{"Version": "c", "Resources": []}')
        code, _, err = run_check(file, f"--configuration={entities}")
        assert code == 3 and f"{entities}: is not a list of entities" in err, err
        assert "kumquatsaddle-review" in err, err
        entry["value"] = {"slots": 1}
        entities.write_text(json.dumps([entry]))
        assert run_check(file, f"--configuration={entities}") == (0, "", "")
