"""Runs the commands of a page in one shell, in a scratch folder.

The addresses of the pages are moved to a loopback network of this process, so that
runs on one machine do not meet.
"""

import os
import re
import shutil
import signal
import stat
import subprocess
import sys
import tempfile
from pathlib import Path

from docs.tests.pages import NOT_RUN, ROOT, read_blocks, read_commands

__all__ = ["run_page"]

_BINARIES = ("node", "ctl", "check", "load", "report", "review")
# Longest time in seconds for a page; a hanging command fails instead of the run.
_TIMEOUT = 240
_NETWORK = f"127.{os.getpid() % 250 + 2}.252."
_MARK = "@@kumquatsaddle@@"


def run_page(page):
    """Run the commands of a page; return command, exit code and output of each.

    The exit code of a command that was not reached is None.
    """
    blocks = read_blocks(page)
    commands = [
        command
        for block in blocks
        if block.language == "console"
        for command in read_commands(block)
        if command.text not in NOT_RUN
    ]
    if not commands:
        return []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        _fill_folder(folder, blocks)
        output = _run_script(folder, _write_script(commands))
    return _split_output(commands, output)


def _fill_folder(folder, blocks):
    binaries = folder / ".bin"
    binaries.mkdir()
    for name in _BINARIES:
        arguments = f"-m kumquatsaddle.commands.{name}"
        _write_wrapper(binaries / f"kumquatsaddle-{name}", arguments)
    _write_wrapper(binaries / "python", "")
    (folder / "demo").mkdir()
    settings = ROOT / "demo" / "laptop.ini"
    (folder / "demo" / "laptop.ini").write_text(
        settings.read_text().replace("127.0.0.", _NETWORK)
    )
    for block in blocks:
        if block.file:
            (folder / block.file).write_text(block.text.replace("127.0.0.", _NETWORK))


def _write_wrapper(path, arguments):
    path.write_text(f'#!/bin/sh\nexec {sys.executable} {arguments} "$@"\n')
    path.chmod(path.stat().st_mode | stat.S_IXUSR)


def _write_script(commands):
    lines = ["shopt -u huponexit"]
    for number, command in enumerate(commands):
        lines.append(f"echo; echo '{_MARK} start {number}'")
        lines.append(command.text.replace("127.0.0.", _NETWORK))
        lines.append(f'code=$?; echo; echo "{_MARK} end {number} $code"')
    return "\n".join(lines) + "\n"


def _run_script(folder, script):
    environment = dict(os.environ, PYTHONPATH=str(ROOT))
    environment["PATH"] = f"{folder / '.bin'}:{environment['PATH']}"
    with open(folder / ".output", "w+") as output:
        shell = subprocess.Popen(
            [shutil.which("bash"), "-c", script],
            cwd=folder,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        try:
            shell.wait(_TIMEOUT)
        except subprocess.TimeoutExpired:
            print(f"the commands did not end within {_TIMEOUT} s")
        finally:
            _end_session(shell)
        return (folder / ".output").read_text()


def _end_session(shell):
    """End the processes that the shell left behind; they are in its group."""
    try:
        os.killpg(shell.pid, signal.SIGKILL)
    except ProcessLookupError:
        pass
    shell.wait()


def _split_output(commands, output):
    results = []
    for number, command in enumerate(commands):
        start, end = f"\n{_MARK} start {number}\n", f"\n{_MARK} end {number} "
        match = re.search(rf"{start}(.*?){end}(\d+)\n", output, re.DOTALL)
        text, code = (match[1], int(match[2])) if match else (output, None)
        results.append((command, code, text.replace(_NETWORK, "127.0.0.")))
    return results
