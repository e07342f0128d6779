"""Asks for tokens that wait for the answer of an owner.

Load: at the target size about 1,400 asks a second at an instance, each pending for the
time of a datagram each way; asks of one pass of the event loop are sent together.
"""

import math

import trio

from kumquatsaddle.accounts.quota_owner import ADVANCE_SECONDS
from kumquatsaddle.sharing.quota_messages import QuotaAsk

__all__ = ["AnsweredAsks", "Ask", "PendingAsks", "SilentOwners", "encode_ask"]

# Time after which an ask without an answer is repeated. A datagram each way takes at
# most 7 ms, an answer by a busy owner some 50 ms.
_REPEAT_SECONDS = 0.08
# Times that an ask is sent, the first one included.
_MAX_SENDINGS = 3
# Requests without an answer after which an owner counts as silent; a single one may be
# lost on a full link.
_MIN_UNANSWERED = 3
# Time between two asks to an owner that has not answered the last one.
_PROBE_SECONDS = 0.25
# Numbers of asks have 32 bits in `quotas.capnp`.
_MAX_NUMBER = 1 << 32
# Time for which the answer to an ask is kept in case the ask is repeated.
_ANSWER_KEPT_SECONDS = 1.0


class Ask:
    """One ask for all requests of an account that arise at the same moment.

    Attributes
    ----------
    account : AccountId
    owner : int
        Hash of the name of the owner.
    answered : trio.Event
    grant : Grant or None
        The answer.
    sent_at : float or None
        When it was first sent, on a clock that includes suspended time, in seconds.
    """

    def __init__(self, number, account, owner):
        self.number = number
        self.account = account
        self.owner = owner
        self.answered = trio.Event()
        self.grant = None
        self.sent_at = None
        self.sendings = 0
        self.repeat_at = -math.inf
        self._waiting = 0
        self._tokens = 0
        self._encoded = None

    def join(self):
        """Add a waiting request."""
        self._waiting += 1

    def leave(self):
        """Remove a waiting request; return whether it got a token."""
        self._waiting -= 1
        if self._tokens:
            self._tokens -= 1
            return True
        return False

    @property
    def is_encoded(self):
        """Whether it was sent before."""
        return self._encoded is not None

    def encode(self, advance, returned):
        """Return the `QuotaAsk`, which stays the same when it is repeated."""
        if self._encoded is None:
            self._encoded = QuotaAsk(
                self.number, self.account, self._waiting, advance, returned
            )
        return self._encoded

    def set_grant(self, grant):
        """Give the granted tokens to the waiting requests; return the surplus."""
        self.grant = grant
        self._tokens = min(self._waiting, grant.granted)
        self.answered.set()
        return grant.granted - self._tokens


class PendingAsks:
    """The asks of one instance that are to be sent or wait for an answer."""

    def __init__(self):
        self._unsent = {}
        self._pending = {}
        self._number = 0
        self._has_unsent = trio.Event()

    def join(self, owner, account):
        """Return the ask that a request waits for."""
        ask = self._find_unsent(owner, account)
        ask.join()
        return ask

    def add_return(self, owner, account):
        """Make an ask, without a waiting request, that returns tokens."""
        self._find_unsent(owner, account)

    async def wait_until_due(self):
        """Wait until an ask is to be sent or repeated."""
        due = min((ask.repeat_at for ask in self._pending.values()), default=math.inf)
        with trio.move_on_at(due):
            await self._has_unsent.wait()

    def pop_due(self, now):
        """Return the asks to send now, by owner.

        Parameters
        ----------
        now : float
            On a clock that includes suspended time, in seconds.
        """
        self._has_unsent = trio.Event()
        trio_now, due = trio.current_time(), {}
        for ask in list(self._pending.values()):
            is_over = ask.sendings >= _MAX_SENDINGS and ask.repeat_at <= trio_now
            if is_over or now - ask.sent_at > ADVANCE_SECONDS:
                del self._pending[ask.number]
            elif ask.repeat_at <= trio_now:
                due.setdefault(ask.owner, []).append(ask)
        for ask in self._unsent.values():
            ask.sent_at = now
            self._pending[ask.number] = ask
            due.setdefault(ask.owner, []).append(ask)
        self._unsent.clear()
        for asks in due.values():
            for ask in asks:
                ask.sendings += 1
                # After the last one, the ask is dropped at that time.
                is_last = ask.sendings >= _MAX_SENDINGS
                delay = ADVANCE_SECONDS if is_last else _REPEAT_SECONDS
                ask.repeat_at = trio_now + delay
        return due

    def pop(self, number):
        """Return the ask with a number, or None if it is not pending; remove it."""
        return self._pending.pop(number, None)

    def is_valid(self, ask, now):
        """Return whether the tokens for an ask may still be used."""
        return now - ask.sent_at <= ADVANCE_SECONDS

    def _find_unsent(self, owner, account):
        ask = self._unsent.get((owner, account))
        if ask is None:
            self._number = (self._number + 1) % _MAX_NUMBER
            ask = self._unsent[owner, account] = Ask(self._number, account, owner)
            self._has_unsent.set()
        return ask


class SilentOwners:
    """The owners that did not answer the last asks.

    Requests are refused at once while their owner is silent, except for one at a time
    that finds out whether it answers again.
    """

    def __init__(self):
        # When the next ask may be sent, by the hash of the name of the owner.
        self._next_ask_at = {}
        # Requests without an answer since the last one.
        self._unanswered = {}

    def add(self, owner, now):
        """Record that an owner did not answer a request in time."""
        self._unanswered[owner] = self._unanswered.get(owner, 0) + 1
        if self._unanswered[owner] >= _MIN_UNANSWERED:
            self._next_ask_at[owner] = now + _PROBE_SECONDS

    def discard(self, owner):
        """Record that an instance sends quota messages."""
        self._next_ask_at.pop(owner, None)
        self._unanswered.pop(owner, None)

    def may_ask(self, owner, now):
        """Return whether a request may wait for an answer of an owner."""
        next_ask_at = self._next_ask_at.get(owner)
        if next_ask_at is None:
            return True
        if now < next_ask_at:
            return False
        self._next_ask_at[owner] = now + _PROBE_SECONDS
        return True


class AnsweredAsks:
    """The answers to the asks that arrived recently, for those that are repeated."""

    def __init__(self):
        # Times and grants by sender, incarnation and number, oldest first.
        self._answers = {}

    def find(self, message, ask):
        """Return the `Grant` for an ask of a `QuotaMessage` if it is a repeated one."""
        _, grant = self._answers.get(_make_key(message, ask), (None, None))
        return grant

    def add(self, message, ask, grant, now):
        """Keep the answer to an ask."""
        self._answers[_make_key(message, ask)] = now, grant

    def forget(self, now):
        """Drop the answers that are too old for a repeated ask."""
        for key, (answered_at, _) in list(self._answers.items()):
            if now - answered_at < _ANSWER_KEPT_SECONDS:
                break
            del self._answers[key]


def _make_key(message, ask):
    return message.sender, message.incarnation, ask.number


def encode_ask(ask, tokens, now):
    """Return the `QuotaAsk` of an ask.

    A repeated one stays the same, so that tokens that were returned since it was first
    sent wait for the next ask.

    Parameters
    ----------
    ask : Ask
    tokens : QuotaTokens
    now : float
        On a clock that includes suspended time, in seconds.
    """
    if ask.is_encoded:
        return ask.encode(0, 0)
    advance = tokens.compute_advance(ask.account, now)
    return ask.encode(advance, tokens.pop_returned(ask.account))
