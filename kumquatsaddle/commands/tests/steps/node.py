import signal
import socket
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

from behave import then

from kumquatsaddle.settings.files import load_settings
from kumquatsaddle.testing.operators import write_settings

COMMAND = [sys.executable, "-m", "kumquatsaddle.commands.node"]
HOST = "127.0.37.1"
# Ends a process that hangs; the steps do not check durations.
PROCESS_TIMEOUT_SECONDS = 60.0
TLS = "\n[tls]\n{prefix}certificate_file = {path}\n{prefix}key_file = {path}\n"


def run_node(file, *arguments):
    """Run the command to its end; return exit code and lines of standard error."""
    command = [*COMMAND, f"--settings={file}", *arguments]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=PROCESS_TIMEOUT_SECONDS
    )
    assert not done.stdout, done.stdout
    lines = done.stderr.splitlines()
    return done.returncode, [line for line in lines if not line.startswith("time=")]


def check_error_names(file, section, key, *arguments):
    code, lines = run_node(file, *arguments)
    assert code == 2, (code, lines)
    assert len(lines) == 1, lines
    assert lines[0].startswith(f"kumquatsaddle-node: {file}: [{section}] {key}: ")


@then("each setting that prevents the start is named in one line")
def check_start_errors(context):
    with tempfile.TemporaryDirectory() as folder:
        file, token = write_settings(folder, HOST)
        text = file.read_text()
        check_used_addresses(file)
        broken = Path(folder, "broken.pem")
        broken.write_text("no certificate")
        tls = TLS.format(prefix="", path=broken)
        file.write_text(text + tls)
        check_error_names(file, "tls", "certificate_file")
        control = TLS.format(prefix="control_", path=broken)
        file.write_text(text + control + f"control_ca_file = {broken}\n")
        check_error_names(file, "tls", "control_certificate_file")
        file.write_text(text + f"control_key_files = {folder}/none\n")
        check_error_names(file, "secrets", "control_key_files")
        file.write_text(text.replace(f"callers = {HOST}", "callers = 192.0.2.1"))
        check_error_names(file, "listen", "callers")
        file.write_text(text)
        token.write_text("short")
        check_error_names(file, "secrets", "operator_token_file")


def check_used_addresses(file):
    settings = load_settings(file)
    kinds = [(key, socket.SOCK_STREAM) for key in ("callers", "control", "operators")]
    for key, kind in [*kinds, ("control", socket.SOCK_DGRAM)]:
        address = settings.get("listen", key)
        with socket.socket(type=kind) as other:
            other.bind((address.host, address.port))
            if kind is socket.SOCK_STREAM:
                other.listen()
            check_error_names(file, "listen", key)


@then("an unknown log level is named in one line")
def check_level(context):
    with tempfile.TemporaryDirectory() as folder:
        file, _ = write_settings(folder, HOST)
        code, lines = run_node(file, "--log-level=LOUD")
        assert code == 2 and len(lines) == 1, (code, lines)
        assert "--log-level" in lines[0] and "LOUD" in lines[0]


@then("SIGTERM ends an idle instance with exit code 0")
def check_stop(context):
    with tempfile.TemporaryDirectory() as folder:
        file, _ = write_settings(folder, HOST)
        check_sigterm_after(file, "event=application_started")


@then("SIGTERM ends an instance that waits for its platform with exit code 0")
def check_stop_waiting(context):
    with tempfile.TemporaryDirectory() as folder:
        file, _ = write_settings(folder, HOST)
        text = file.read_text()
        unreachable = "kind = http\nurl = http://127.0.0.1:1\n"
        assert "kind = memory\n" in text
        file.write_text(text.replace("kind = memory\n", unreachable))
        check_sigterm_after(file, "level=WARNING")


def check_sigterm_after(file, log_text):
    """Start an instance, send SIGTERM after a line with `log_text`, check its exit."""
    with ExitStack() as stack:
        command = [*COMMAND, f"--settings={file}"]
        node = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        stack.callback(node.wait)
        stack.callback(node.kill)
        for line in node.stderr:
            if log_text in line:
                break
        node.send_signal(signal.SIGTERM)
        _, rest = node.communicate(timeout=PROCESS_TIMEOUT_SECONDS)
        assert node.returncode == 0, rest
        assert "event=application_stopped" in rest and "Traceback" not in rest
