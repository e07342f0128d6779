"""Backend server that answers at once, never, or with a long body, by the path."""

import socketserver
import threading

__all__ = ["LARGE_ANSWER_BYTES", "start_backend"]

# Two of them do not fit into the send buffer of a socket, so that answers which are not
# read stay in the memory of the instance.
LARGE_ANSWER_BYTES = 2 << 20
_READ_BYTES = 1 << 16


class _Handler(socketserver.StreamRequestHandler):
    def handle(self):
        try:
            while self._serve_request():
                pass
        except OSError:
            # The instance closed the connection.
            pass

    def _serve_request(self):
        line = self.rfile.readline()
        if not line:
            return False
        headers = {}
        while (field := self.rfile.readline()) not in (b"\r\n", b""):
            name, _, value = field.partition(b":")
            headers[name.strip().lower()] = value.strip()
        left = int(headers.get(b"content-length", b"0"))
        while left:
            received = self.rfile.read(min(left, _READ_BYTES))
            if not received:
                return False
            left -= len(received)
        self._answer(line.split()[1], headers)
        return True

    def _answer(self, target, headers):
        if target.startswith(b"/hold/"):
            self.server.ending.wait()
        body = b"served"
        if target.startswith(b"/large/"):
            body = bytes(LARGE_ANSWER_BYTES)
        fields = [b"HTTP/1.1 200 OK", b"X-Response-Signature: signed"]
        if b"x-request-id" in headers:
            fields.append(b"X-Request-Id: " + headers[b"x-request-id"])
        fields.append(b"Content-Length: %d" % len(body))
        self.wfile.write(b"\r\n".join(fields) + b"\r\n\r\n" + body)


class _Backend(socketserver.ThreadingTCPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 512


def start_backend(context):
    """Serve on a free port until the scenario ends; return the address as text."""
    server = _Backend(("127.0.0.1", 0), _Handler)
    server.ending = threading.Event()
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.add_cleanup(server.ending.set)
    host, port = server.server_address
    return f"{host}:{port}"
