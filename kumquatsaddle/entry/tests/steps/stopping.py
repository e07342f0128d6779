import socket
import ssl
import tempfile
from pathlib import Path

import trio
import trustme
from behave import then
from trio.testing import MockClock, memory_stream_pair

from kumquatsaddle.entry.tls import (
    make_caller_context,
    make_control_client_context,
    make_control_server_context,
)
from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.lifecycle.node import make_node
from kumquatsaddle.lifecycle.stopping import read_stop_times
from kumquatsaddle.settings.files import load_settings
from kumquatsaddle.settings.parsers import Address
from kumquatsaddle.testing.caller_servers import (
    EchoProxy,
    make_default_settings,
    make_test_server,
    read_responses,
)

NODE_SETTINGS = """\
[instance]
id = one
zone = a
[listen]
callers = 127.0.0.1:1
control = 127.0.0.1:2
operators = 127.0.0.1:3
[platform]
kind = memory
[limits]
answer_bytes = 1000
[tls]
certificate_file = {certificate}
key_file = {key}
"""
REQUEST = b"GET /stop HTTP/1.1\r\nHost: x\r\n\r\n"
NOTICE_SECONDS = 3.0
GRACE_SECONDS = 60.0


def run_on_mock_clock(function, *arguments):
    return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))


async def read_all(stream):
    return b"".join([part async for part in stream])


async def run_during_stop(server, act, pair=memory_stream_pair):
    """Run `act` on a connection while the server stops.

    Returns the bytes received and the time when the connection ended.
    """
    ours, theirs = pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_connection, theirs)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(act, ours)
        nursery.start_soon(server.drain, NOTICE_SECONDS, GRACE_SECONDS)
        data = await read_all(ours)
        end_time = trio.current_time()
        await ours.aclose()
    return data, end_time


def check_last_answer(data):
    (response,) = read_responses(data)
    assert response[0] == 200
    assert response[1][b"connection"] == b"close"


@then("a request in flight when the stop begins is answered with Connection: close")
def check_in_flight(context):
    async def act(stream):
        await stream.send_all(REQUEST)

    server = make_test_server(EchoProxy(delay=30.0))
    data, _ = run_on_mock_clock(run_during_stop, server, act)
    check_last_answer(data)


@then("an idle connection may send its request during the notice period")
def check_notice(context):
    async def act(stream):
        await trio.sleep(NOTICE_SECONDS - 0.5)
        await stream.send_all(REQUEST[:10])
        # The rest arrives after the notice period.
        await trio.sleep(1.0)
        await stream.send_all(REQUEST[10:])

    data, _ = run_on_mock_clock(run_during_stop, make_test_server(), act)
    check_last_answer(data)


@then("a connection in the backlog is served although the listener closes")
def check_backlog(context):
    async def check():
        server = make_test_server()
        async with trio.open_nursery() as nursery:
            address = Address("127.0.0.1", 0)
            (listener,) = await nursery.start(server.run, address)
            port = listener.socket.getsockname()[1]
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(REQUEST)
            # The accepting task does not run between these calls.
            nursery.start_soon(server.drain, 0.0, GRACE_SECONDS)
            check_last_answer(await read_all(stream))
            await stream.aclose()

    trio.run(check)


class ConnectingScope:
    """Connects a caller at the moment when the server stops accepting.

    Parameters
    ----------
    scope : trio.CancelScope
        Cancelled afterwards.
    port : int
    """

    def __init__(self, scope, port):
        self.scope = scope
        self.port = port
        self.caller = socket.socket()
        self.connected = trio.Event()

    def cancel(self):
        self.caller.connect(("127.0.0.1", self.port))
        self.caller.sendall(REQUEST)
        self.connected.set()
        self.scope.cancel()


@then("a connection accepted last is served before the stop ends")
def check_accepted_last(context):
    async def check():
        server = make_test_server(EchoProxy(delay=0.01))
        async with trio.open_nursery() as caller_nursery:
            async with trio.open_nursery() as server_nursery:
                address = Address("127.0.0.1", 0)
                (listener,) = await server_nursery.start(server.run, address)
                port = listener.socket.getsockname()[1]
                scope = ConnectingScope(server._accept_scope, port)
                server._accept_scope = scope
                caller_nursery.start_soon(check_answered, scope)
                await server.drain(0.0, GRACE_SECONDS)
                # The process ends after the drain.
                server_nursery.cancel_scope.cancel()

    async def check_answered(scope):
        await scope.connected.wait()
        scope.caller.setblocking(False)
        caller = trio.SocketStream(trio.socket.from_stdlib_socket(scope.caller))
        async with caller:
            check_last_answer(await read_all(caller))

    # Trio runs tasks that wake at the same time in random order; 30 runs cover both
    # orders of the new connection and the end of the drain.
    for _ in range(30):
        trio.run(check)


@then("the notice and the grace end before the kill, and use the time until it")
def check_stop_times(context):
    for kill_after in (0.5, 1.0, 4.0, 6.0, 10.0, 30.0):
        settings = make_default_settings(stop__kill_after=kill_after)
        times = read_stop_times(settings)
        assert times.notice <= kill_after / 3
        assert 0.0 <= times.grace
        assert 0.8 * kill_after - 0.4 <= times.notice + times.grace < kill_after
    times = read_stop_times(make_default_settings(stop__notice=2.0))
    assert (times.notice, times.grace) == (2.0, 60.0)


@then("a request is started in no more than the first half of the time until the kill")
def check_last_start(context):
    for kill_after in (1.0, 4.0, 6.0, 10.0, 30.0):
        times = read_stop_times(make_default_settings(stop__kill_after=kill_after))
        assert times.notice <= times.last_start <= kill_after / 2, times
    # Without time to reserve, callers that are still accepted are served.
    times = read_stop_times(make_default_settings(stop__notice=5.0, stop__grace=1.0))
    assert times.last_start == 5.0


@then("idle connections are closed when the notice period ends")
def check_idle(context):
    async def act(stream):
        pass

    data, end_time = run_on_mock_clock(run_during_stop, make_test_server(), act)
    assert data == b""
    assert NOTICE_SECONDS <= end_time < NOTICE_SECONDS + 1.0, end_time


@then("a request whose first bytes arrive at that moment is still answered")
def check_first_bytes_at_close(context):
    # Trio runs tasks that wake at the same time in random order; 20 runs cover both
    # orders.
    for offset in [-1e-9, 0.0, 1e-9] * 20:
        sent = []

        async def act(stream, offset=offset, sent=sent):
            await trio.sleep(NOTICE_SECONDS + offset)
            try:
                await stream.send_all(REQUEST[:1])
                sent.append(offset)
                await trio.sleep(0.5)
                await stream.send_all(REQUEST[1:])
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                assert not sent

        data, _ = run_on_mock_clock(
            run_during_stop, make_test_server(), act, socket_pair
        )
        # A byte that could be sent arrived before the connection was closed.
        if sent:
            check_last_answer(data)
        assert sent or offset >= 0


def socket_pair():
    return tuple(trio.SocketStream(end) for end in trio.socket.socketpair())


def write_certificate(folder, authority, name="server"):
    """Write a certificate and its key; return the two paths."""
    issued = authority.issue_cert("127.0.0.1")
    certificate, key = folder / f"{name}.pem", folder / f"{name}.key"
    issued.cert_chain_pems[0].write_to_path(str(certificate))
    issued.private_key_pem.write_to_path(str(key))
    return str(certificate), str(key)


def client_context(authority):
    context = ssl.create_default_context()
    authority.configure_trust(context)
    return context


async def call_with_tls(server, context):
    ours, theirs = memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_connection, theirs)
        stream = trio.SSLStream(
            ours, context, server_hostname="127.0.0.1", https_compatible=True
        )
        try:
            await stream.send_all(
                REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            )
            return read_responses(await read_all(stream))[0][0]
        except trio.BrokenResourceError as error:
            return type(error.__cause__)
        finally:
            await trio.aclose_forcefully(ours)


@then("a caller that trusts the certificate authority is answered over TLS")
def check_tls(context):
    with tempfile.TemporaryDirectory() as folder:
        authority = trustme.CA()
        certificate, key = write_certificate(Path(folder), authority)
        server = make_test_server(tls__certificate_file=certificate, tls__key_file=key)
        assert (
            run_on_mock_clock(call_with_tls, server, client_context(authority)) == 200
        )
        distrusting = client_context(trustme.CA())
        failure = run_on_mock_clock(call_with_tls, server, distrusting)
        assert failure is ssl.SSLCertVerificationError


@then("a new certificate is used after a reload and a broken one is refused")
def check_reload(context):
    with tempfile.TemporaryDirectory() as folder:
        old, new = trustme.CA(), trustme.CA()
        certificate, key = write_certificate(Path(folder), old)
        server = make_test_server(tls__certificate_file=certificate, tls__key_file=key)
        settings = server.node.settings
        write_certificate(Path(folder), new)
        server.use_tls_context(make_caller_context(settings))
        assert run_on_mock_clock(call_with_tls, server, client_context(new)) == 200
        Path(key).write_text("no key")
        try:
            make_caller_context(settings)
        except SettingsError as error:
            assert (error.section, error.key) == ("tls", "certificate_file")
            assert error.file == settings.file
        else:
            raise AssertionError("a broken key is accepted")


@then("a caller of a TLS port that sends plain HTTP or nothing is dropped in time")
def check_no_handshake(context):
    with tempfile.TemporaryDirectory() as folder:
        certificate, key = write_certificate(Path(folder), trustme.CA())
        for data in (REQUEST, b""):
            server = make_test_server(
                tls__certificate_file=certificate, tls__key_file=key
            )

            async def call(server=server, data=data):
                ours, theirs = memory_stream_pair()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(server.serve_connection, theirs)
                    await ours.send_all(data)
                    # The server may send a TLS alert, but never a response.
                    return await read_all(ours)

            assert b"HTTP" not in run_on_mock_clock(call)


@then("SIGHUP applies live settings and refuses a file that changes others")
def check_sighup(context):
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.ini"
        certificate, key = write_certificate(Path(folder), trustme.CA())
        text = NODE_SETTINGS.format(certificate=certificate, key=key)
        file.write_text(text)
        node, _ = make_node(load_settings(file))
        file.write_text(text.replace("answer_bytes = 1000", "answer_bytes = 2000"))
        node.reload()
        assert node.settings.get("limits", "answer_bytes") == 2000
        assert node.dispatcher.max_answer_bytes == 2000
        assert b'key="answer_bytes",section="limits"} 2000' in (
            node.metrics.render_text()
        )
        file.write_text(text.replace("zone = a", "zone = b"))
        node.reload()
        file.write_text(text)
        Path(key).write_text("no key")
        node.reload()
        assert node.metrics.counts["reloads_refused", ()] == 2
        assert node.settings.get("limits", "answer_bytes") == 2000


def control_settings(folder, name, authority, trusted):
    certificate, key = write_certificate(folder, authority, name)
    ca_file = folder / f"{name}-ca.pem"
    trusted.cert_pem.write_to_path(str(ca_file))
    return make_default_settings(
        tls__control_certificate_file=certificate,
        tls__control_key_file=key,
        tls__control_ca_file=str(ca_file),
    )


async def run_handshakes(server_context, context):
    """Return for each side the error of its handshake, or None."""
    ours, theirs = memory_stream_pair()
    client = trio.SSLStream(ours, context)
    server = trio.SSLStream(theirs, server_context, server_side=True)
    outcomes = {}

    async def act(name, stream):
        try:
            await stream.do_handshake()
            # With TLS 1.3 a client detects a refusal only when it reads data.
            await stream.send_all(b"x")
            await stream.receive_some(1)
            outcomes[name] = None
        except trio.BrokenResourceError as error:
            outcomes[name] = error
            await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(act, "client", client)
        nursery.start_soon(act, "server", server)
    return outcomes


@then("instances with certificates of the same authority complete the handshake")
def check_mutual_tls(context):
    with tempfile.TemporaryDirectory() as folder:
        authority = trustme.CA()
        one = control_settings(Path(folder), "one", authority, authority)
        two = control_settings(Path(folder), "two", authority, authority)
        outcomes = run_on_mock_clock(
            run_handshakes,
            make_control_server_context(one),
            make_control_client_context(two),
        )
        assert outcomes == {"client": None, "server": None}, outcomes
    assert make_control_server_context(make_default_settings()) is None


@then("an instance without a certificate or with one of another authority is refused")
def check_untrusted_peer(context):
    with tempfile.TemporaryDirectory() as folder:
        authority, other = trustme.CA(), trustme.CA()
        one = control_settings(Path(folder), "one", authority, authority)
        two = control_settings(Path(folder), "two", other, authority)
        anonymous = client_context(authority)
        anonymous.check_hostname = False
        for client in (make_control_client_context(two), anonymous):
            outcomes = run_on_mock_clock(
                run_handshakes, make_control_server_context(one), client
            )
            assert outcomes["server"] is not None
