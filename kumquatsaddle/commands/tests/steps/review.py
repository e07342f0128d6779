import copy
import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from hashlib import blake2b
from pathlib import Path

from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from kumquatsaddle.commands import review

KEY = "k-5f1c9e"
CONFIGURATION = {
    "Version": "0000000c",
    "Resources": [
        {
            "ResourceKind": "Routes",
            "Metadata": {"Name": "reads"},
            "Spec": {
                "Host": "farm.example",
                "Prefix": "/reads/",
                "Kind": "safe",
                "TimeoutMs": 1701,
                "TargetLatencyMs": 920,
                "Priority": 0,
                "TrafficSplit": [{"Service": "meters", "Weight": 90}],
                "MaxAttempts": 2,
            },
        },
        {
            "ResourceKind": "Services",
            "Metadata": {"Name": "meters"},
            "Spec": {"HealthPath": "/health", "MaxConnections": 330},
        },
        {
            "ResourceKind": "Tenants",
            "Metadata": {"Name": "farms"},
            "Spec": {"ApiKeys": [KEY], "RatePerS": 153, "Burst": 20, "Priority": 1},
        },
        {
            "ResourceKind": "Limits",
            "Metadata": {},
            "Spec": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 1000,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        },
    ],
}


def run_review(content, *arguments, in_force=None, capacity=None):
    """Review a file; return exit code, standard output and standard error.

    `content` and `in_force` are bytes, or values that are encoded as JSON.
    """
    out, err = io.StringIO(), io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        options = [write_file(folder, "proposed.json", content), *arguments]
        if in_force is not None:
            file = write_file(folder, "in_force.json", in_force)
            options.append(f"--in-force={file}")
        if capacity is not None:
            file = write_file(folder, "capacity.json", capacity)
            options.append(f"--capacity={file}")
        with redirect_stdout(out), redirect_stderr(err):
            code = review.main(options)
    return code, out.getvalue(), err.getvalue()


def write_file(folder, name, content):
    if not isinstance(content, bytes):
        content = json.dumps(content).encode()
    path = Path(folder, name)
    path.write_bytes(content)
    return str(path)


def change_configuration(**fields):
    """Return the configuration with other fields of its parts.

    A name is the number of a resource and a field of its ``Spec``; a field without
    number is one of the configuration.
    """
    value = copy.deepcopy(CONFIGURATION)
    for name, field in fields.items():
        number, _, key = name.rpartition("_")
        target = value["Resources"][int(number[1:])]["Spec"] if number else value
        target[key] = field
    return value


@then("exit code 0 means nothing or differences, 1 warnings, 2 errors or bad input")
def check_exit_codes(context):
    assert run_review(CONFIGURATION) == (0, "", "")
    newer = change_configuration(Version="d", _0_TimeoutMs=2000)
    code, out, err = run_review(newer, in_force=CONFIGURATION)
    assert (code, err) == (0, "") and "difference: routes/reads: timeout 1.701" in out
    code, out, _ = run_review(change_configuration(_0_TimeoutMs=900))
    assert code == 1 and "[objective_above_timeout]" in out, out
    code, out, _ = run_review(change_configuration(_0_TimeoutMs=None))
    assert code == 2 and "error: routes/reads.TimeoutMs: " in out, out
    code, out, _ = run_review(b"[")
    assert code == 2 and "error: not JSON" in out, out
    check_bad_input()


def check_bad_input():
    code, out, err = run_review(CONFIGURATION, in_force={"Version": "c"})
    assert (code, out) == (2, "") and "in_force.json: Resources: " in err, err
    code, out, err = run_review(CONFIGURATION, "--format=xml")
    assert (code, out) == (2, "") and "'xml'; known: json, text" in err, err
    code, out, err = run_review(CONFIGURATION, "--fast")
    assert (code, out) == (2, "") and "Usage:" in err, err
    out, err = io.StringIO(), io.StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        assert review.main(["/nonexistent/a.json"]) == 2
    assert "/nonexistent/a.json: No such file" in err.getvalue()


@then("a file with several errors prints each with its path")
def check_errors(context):
    value = change_configuration(
        _0_Host="",
        _0_Kind="odd",
        _1_MaxConnections=0,
        _2_RatePerS="9",
        _3_MaxBodyBytes=-1,
    )
    code, out, _ = run_review(value)
    paths = ["routes/reads.Kind", "routes/reads.Host", "services/meters.MaxConnections"]
    paths += ["accounts/farms.RatePerS", "limits.MaxBodyBytes"]
    lines = out.splitlines()
    assert code == 2 and len(lines) == 6, out
    for line, path in zip(lines, paths, strict=False):
        assert f"error: {path}: " in line, line
    assert lines[-1].endswith("5 errors, 0 warnings, 0 differences")


@then("the JSON output has the findings and counts of the text output")
def check_json(context):
    value = change_configuration(Version="b", _0_TimeoutMs=900, _2_ApiKeys=["k2"])
    text = run_review(value, in_force=CONFIGURATION)
    code, out, err = run_review(value, "--format=json", in_force=CONFIGURATION)
    result = json.loads(out)
    assert (code, err) == (text[0], text[2]) == (1, "")
    assert (result["errors"], result["warnings"], result["differences"]) == (0, 2, 2)
    lines = [
        "{severity}: {subject}: {problem} [{check}]".format(**finding)
        for finding in result["findings"]
    ]
    shown = [line.split(": ", 1)[1] for line in text[1].splitlines()[:-1]]
    assert shown == lines, (shown, lines)
    code, out, _ = run_review(CONFIGURATION, "--format=json")
    assert code == 0 and json.loads(out)["findings"] == []


@then("a capacity file gives its warnings, and an invalid one is bad input")
def check_capacity(context):
    capacity = {
        "services": {"meters": {"slots": 150}},
        "routes": {"reads": {"work_ms": 1800}},
    }
    code, out, _ = run_review(CONFIGURATION, capacity=capacity)
    assert code == 1 and "[timeout_below_work]" in out, out
    assert "quota of 153/s is above the 83.3333333333333/s" in out, out
    capacity["routes"]["reads"]["work_ms"] = 204
    assert run_review(CONFIGURATION, capacity=capacity) == (0, "", "")
    for invalid, place in (
        ([], "capacity"),
        ({"servers": {}}, "capacity.servers"),
        ({"services": {"meters": {"slots": 0}}}, "services/meters.slots"),
        ({"services": {"meters": 5}}, "services/meters"),
        ({"routes": {"reads": {"work_ms": "5"}}}, "routes/reads.work_ms"),
        ({"routes": {"reads": {"work_s": 5}}}, "routes/reads.work_s"),
    ):
        code, out, err = run_review(CONFIGURATION, capacity=invalid)
        assert (code, out) == (2, "") and f"capacity.json: {place}: " in err, err

    @for_all(st.sampled_from(sorted(list_places(capacity), key=repr)), VALUES)
    def check(place, value):
        changed = make_changed(place, value, capacity)
        code, out, err = run_review(CONFIGURATION, capacity=changed)
        assert code in (0, 1, 2) and (code == 2) == bool(err), (code, err)

    check()


def list_places(value, place=()):
    """Yield the paths of all values in a JSON value."""
    yield place
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in items:
            yield from list_places(inner, (*place, key))


def make_changed(place, value, source=CONFIGURATION):
    """Return a copy of a JSON value with another value at a path."""
    if not place:
        return value
    changed = copy.copy(source)
    changed[place[0]] = make_changed(place[1:], value, source[place[0]])
    return changed


PLACES = sorted(list_places(CONFIGURATION), key=repr)
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(1 << 1000), 1 << 1000)
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["\ud800", "f" * 6000, "meters", "reads", "/a/", "safe", "\x00"])
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["Name", "Service", "Weight"]), inner)
    ),
    max_leaves=6,
)


def check_result(result):
    """Check a run with ``--format=json``; return its exit code."""
    code, out, err = result
    assert err == "", err
    counts = json.loads(out)
    expected = 2 if counts["errors"] else 1 if counts["warnings"] else 0
    assert code == expected, result
    return code


@then("any changed configuration gives findings or a result, never a traceback")
def check_any_change(context):
    @settings(max_examples=300)
    @for_all(st.sampled_from(PLACES), VALUES, st.booleans())
    def check(place, value, is_compared):
        in_force = CONFIGURATION if is_compared else None
        changed = make_changed(place, value)
        check_result(run_review(changed, "--format=json", in_force=in_force))
        if in_force is None:
            return
        # Neither does a broken file of the version in force give a traceback.
        code, _, err = run_review(CONFIGURATION, "--format=json", in_force=changed)
        assert code in (0, 1, 2) and (code == 2) == bool(err), (code, err)

    check()


@then("any other JSON and any bytes give an error")
def check_any_bytes(context):
    @for_all(VALUES.map(lambda value: json.dumps(value).encode()) | st.binary())
    def check(content):
        assert check_result(run_review(content, "--format=json")) == 2

    check()
    for content in (b"[" * 100_000, b"1" * 5000, "\ufeff{}".encode("utf-16"), b""):
        assert check_result(run_review(content, "--format=json")) == 2


@then("no output contains an API key or its digest, wherever the key is misplaced")
def check_keys(context):
    digest = blake2b(KEY.encode(), digest_size=16)
    secrets = [KEY, digest.hexdigest(), repr(digest.digest())[2:-1]]
    account = ("Resources", 2)
    places = [account, (*account, "Metadata"), (*account, "Spec")]
    places += [(*account, "Spec", field) for field in ("RatePerS", "Burst", "Priority")]
    shapes = [KEY, [KEY], {KEY: KEY}, [[KEY]], {"ApiKeys": KEY}, [KEY, 7], [KEY + " "]]
    places.append((*account, "Spec", "ApiKeys"))
    others = [change_configuration(_2_ApiKeys=[]), change_configuration(Version="d")]
    for place in places:
        for shape in shapes:
            changed = make_changed(place, shape)
            for arguments in ((), ("--format=json",)):
                for other in others:
                    output = run_review(changed, *arguments, in_force=other)
                    output += run_review(other, *arguments, in_force=changed)
                    for secret in secrets:
                        assert secret not in str(output), (place, shape, output)


@then("a name outside ASCII is escaped for an ASCII terminal")
def check_ascii(context):
    value = change_configuration(_0_TimeoutMs=900)
    value["Resources"][0]["Metadata"]["Name"] = "zähler"
    raw = io.BytesIO()
    with tempfile.TemporaryDirectory() as folder:
        file = write_file(folder, "a.json", value)
        with redirect_stdout(io.TextIOWrapper(raw, "ascii")) as stream:
            assert review.main([file]) == 1
            stream.flush()
    assert b"routes/z\\xe4hler" in raw.getvalue(), raw.getvalue()


@then("without the reader of the format the command says which file is missing")
def check_missing_reader(context):
    file = review._READER_FILE
    review._READER_FILE = Path("/nonexistent/review.py")
    try:
        code, out, err = run_review(CONFIGURATION)
    finally:
        review._READER_FILE = file
    assert (code, out) == (2, "") and "/nonexistent/review.py: is missing" in err, err
