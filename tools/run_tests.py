"""Runs behave in every folder of tests and prints a line of totals.

Usage:
  tools.run_tests [FOLDER ...] [--jobs=N]

Options:
  --jobs=N  Folders that run at the same time [default: 4].

Each folder has its own step definitions and so needs its own behave process. Scenarios
listed in KNOWN-RED.txt are run and printed, and count as skipped whatever their result.
"""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from docopt import docopt

__all__ = ["main"]

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
# A hanging test fails its folder after this time, and the run continues.
_FOLDER_TIMEOUT_SECONDS = 900


def _find_test_folders():
    features = _ROOT.glob("**/tests/*.feature")
    folders = {path.parent for path in features if ".venv" not in path.parts}
    return sorted(folders)


def _read_known_red():
    """Return the scenarios of KNOWN-RED.txt as ``path.feature: scenario``."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def _run_folder(folder):
    """Run one folder; return its statuses by scenario and the output of behave."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--summary"]
        command += ["--format=progress3", "--format=json"]
        command += ["--outfile=/dev/stdout", f"--outfile={report}", str(folder)]
        try:
            run = subprocess.run(
                command,
                cwd=_ROOT,
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=_FOLDER_TIMEOUT_SECONDS,
            )
        except subprocess.TimeoutExpired as error:
            output = (error.stdout or b"").decode(errors="replace")
            return {f"{folder}: timeout": "failed"}, output
        try:
            results = _read_statuses(json.loads(report.read_text()))
        except (OSError, ValueError):
            # behave ended early, or wrote an incomplete report.
            return {f"{folder}: no report": "failed"}, run.stdout
    if run.returncode and "failed" not in results.values():
        results[f"{folder}: exit status {run.returncode}"] = "failed"
    return results, run.stdout


def _read_statuses(features):
    """Return the statuses by scenario of a JSON report of behave."""
    results = {}
    for feature in features:
        path = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            # behave appends a space to the name of an example.
            name = f"{path}: {element['name'].strip()}"
            status = element.get("status", "failed")
            accepted = ("passed", "skipped")
            results[name] = status if status in accepted else "failed"
    return results


def main(arguments=None):
    """Run the tests; return 0 if some ran and none failed."""
    options = docopt(__doc__, argv=arguments)
    folders = [
        Path(name).resolve() for name in options["FOLDER"]
    ] or _find_test_folders()
    known_red = _read_known_red()
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    with ThreadPoolExecutor(int(options["--jobs"])) as pool:
        for folder, (results, output) in zip(
            folders, pool.map(_run_folder, folders), strict=True
        ):
            print(f"{folder.relative_to(_ROOT)}: {len(results)} scenarios")
            for name, status in results.items():
                if name in known_red:
                    print(f"  known red, {status}: {name}")
                    status = "skipped"
                counts[status] += 1
                if status == "failed":
                    print(f"  failed: {name}")
            if "failed" in results.values():
                print(output)
    print("{passed} passed, {failed} failed, {skipped} skipped".format(**counts))
    return 1 if counts["failed"] or not counts["passed"] else 0


if __name__ == "__main__":
    sys.exit(main())
