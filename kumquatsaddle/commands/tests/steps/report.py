import contextlib
import io
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.caller import CallResult
from kumquatsaddle.commands.load_runs import LoadRun, RankTally, read_run, write_run
from kumquatsaddle.commands.report import main
from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.types import Outcome, Rank


def make_run(factor):
    tallies = {rank: RankTally(rank) for rank in Rank}
    for number in range(1, 1001):
        result = CallResult(Outcome.DONE, "", 200)
        tallies[Rank.URGENT].add(result, number * factor / 1000)
    for _ in range(2 * factor):
        refused = CallResult(Outcome.NOT_RUN, "queue_full", 503)
        tallies[Rank.BULK].add(refused, 0.001)
    return LoadRun({"random_seed": 1}, 10.0, tallies)


@contextlib.contextmanager
def saved_runs():
    with tempfile.TemporaryDirectory() as folder:
        files = [str(Path(folder) / f"{number}.json") for number in (1, 2)]
        write_run(make_run(1), files[0])
        write_run(make_run(2), files[1])
        yield files


def run_report(*arguments):
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = main(list(arguments))
    return code, output.getvalue(), errors.getvalue()


@then("a saved run reads back with the same figures")
def check_saved(context):
    with saved_runs() as files:
        assert read_run(files[0]).to_json() == make_run(1).to_json()


@then("the report shows both runs and their ratio as text and JSON")
def check_report(context):
    with saved_runs() as files:
        code, text, _ = run_report(*files, "--json")
        comparison = json.loads(text)
        assert code == 0
        median = comparison["urgent"]["p50 ms"]
        assert abs(median["first"] - 500) < 1 and abs(median["ratio"] - 2) < 0.01
        assert comparison["bulk"]["queue_full"] == {
            "first": 2,
            "second": 4,
            "ratio": 2.0,
        }
        assert comparison["standard"]["p50 ms"]["ratio"] is None
        code, text, _ = run_report(*files)
        assert code == 0 and "p99.9 ms" in text and "2.000" in text


@then("a PNG and an SVG picture are written and another ending is refused")
def check_pictures(context):
    with saved_runs() as files:
        for suffix, signature in ((".png", b"\x89PNG"), (".svg", b"<?xml")):
            picture = Path(files[0]).with_suffix(suffix)
            assert run_report(*files, f"--picture={picture}")[0] == 0
            assert picture.read_bytes().startswith(signature)
        code, _, errors = run_report(*files, "--picture=a.gif")
        assert code == 2 and "--picture" in errors and "a.gif" in errors


@then("the text report does not import matplotlib")
def check_import(context):
    script = (
        "import sys; from kumquatsaddle.commands.report import main; "
        "code = main(sys.argv[1:]); sys.exit(code or 'matplotlib' in sys.modules)"
    )
    with saved_runs() as files:
        command = [sys.executable, "-c", script, *files]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)


@then("any mutation of a saved run is read or refused with its name")
def check_mutations(context):
    with saved_runs() as files:
        valid = Path(files[0]).read_bytes()

        @for_all(st.data())
        def check(data):
            start = data.draw(st.integers(0, len(valid)))
            stop = start + data.draw(st.integers(0, 20))
            part = data.draw(st.one_of(st.binary(max_size=4), st.just(b"-1")))
            Path(files[0]).write_bytes(valid[:start] + part + valid[stop:])
            try:
                read_run(files[0])
            except SettingsError as error:
                assert error.file == files[0]

        check()
        code, _, errors = run_report("/none/a.json", files[1])
        assert code == 2 and "/none/a.json" in errors
