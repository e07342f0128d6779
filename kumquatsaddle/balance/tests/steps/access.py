import trio
from behave import then
from scripted_dispatch import make_request, open_servers

from kumquatsaddle.dispatch.answers import RawAnswer
from kumquatsaddle.types import Outcome, RefusalReason


class _Connection:
    """A connection whose server answers with a status, after which keys are revoked."""

    keep_alive = None

    def __init__(self, case, status, headers):
        self.case = case
        self.status = status
        self.headers = headers

    async def exchange(
        self, method, target, headers, body, max_body, before_write, memory=None
    ):
        before_write()
        self.case.written += 1
        self.case.is_revoked = True
        return RawAnswer(self.status, self.headers, b"")

    async def close(self):
        pass


class Case:
    """One request whose key is revoked while it is dispatched."""

    def __init__(self, status=200, headers=(), revoked_at_connect=False):
        self.written = 0
        self.is_revoked = False
        self.status = status
        self.headers = list(headers)
        self.revoked_at_connect = revoked_at_connect

    async def _acquire_connection(self, idempotent):
        await trio.sleep(0.01)
        self.is_revoked |= self.revoked_at_connect
        return _Connection(self, self.status, self.headers)

    async def _release_connection(self, connection):
        pass

    def find_refusal(self, request):
        return RefusalReason.UNAUTHORIZED if self.is_revoked else None

    async def _run(self):
        async with trio.open_nursery() as nursery:
            _, dispatcher = await open_servers(nursery, 2)
            dispatcher.find_access_refusal = self.find_refusal
            self.servers = list(dispatcher.list_servers())
            for server in self.servers:
                server.acquire_connection = self._acquire_connection
                server.release_connection = self._release_connection
            self.answer = await dispatcher.dispatch(make_request(1, True))
            self.available = [
                server.is_available(trio.current_time()) for server in self.servers
            ]
            nursery.cancel_scope.cancel()

    def run(self):
        trio.run(self._run)
        return self


def check_unauthorized(answer):
    assert answer.reason is RefusalReason.UNAUTHORIZED, answer
    assert (answer.outcome, answer.status) == (Outcome.NOT_RUN, 401)


@then("a request whose key is revoked before the first byte is refused as unauthorized")
def check_at_connect(context):
    context.case = Case(revoked_at_connect=True).run()
    check_unauthorized(context.case.answer)
    assert context.case.written == 0


@then("the server that was chosen for it counts as no worse than before")
def check_server(context):
    assert context.case.available == [True, True]
    assert all(not any(server.counts.values()) for server in context.case.servers)
    assert all(server.in_flight == 0 for server in context.case.servers)


@then("after a refusal by the server the request is refused as unauthorized")
def check_after_refusal(context):
    case = Case(503, [(b"backend-unprocessed", b"1")]).run()
    check_unauthorized(case.answer)
    assert case.written == 1


@then("after a failure that may have run it keeps the answer of the attempt")
def check_after_failure(context):
    case = Case(500).run()
    assert (case.answer.outcome, case.answer.status) == (Outcome.DONE, 500)
    assert case.written == 1
