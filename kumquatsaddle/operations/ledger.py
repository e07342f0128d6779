"""The ledger: what became of each non-idempotent operation of this incarnation.

`Ledger.run_once` starts an operation at most once and answers every repeat from the
record. A record is kept until the id can no longer be dispatched and the longest
deadline has passed; only then is it forgotten, and an id that is not on record and
past its validity is answered UNKNOWN.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import trio

from kumquatsaddle.exchange import Answer
from kumquatsaddle.operations.issuer import ISSUE_VALIDITY
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["Ledger", "make_ledger"]

# Longest deadline of a request in seconds.
_LONGEST_DEADLINE = 60.0
_RETENTION = ISSUE_VALIDITY + _LONGEST_DEADLINE
# Time in seconds for which whole answers are kept, and their bounds in bytes.
_ANSWER_RETENTION = 120.0
_LARGEST_KEPT_ANSWER = 4096
_KEPT_ANSWER_BYTES = 8 << 20
# At 100 non-idempotent requests a second for the retention time.
_MAX_RECORDS = 66000


@dataclass(slots=True)
class _Record:
    fingerprint: bytes
    issued_at: float
    finished: trio.Event = field(default_factory=trio.Event)
    answer: Answer | None = None


class Ledger:
    """Records of the operations of one incarnation.

    Parameters
    ----------
    clock : callable
        Returns seconds since the epoch.
    max_records : int, optional
        Operations on record; further ones are refused.
    """

    def __init__(self, clock, max_records=_MAX_RECORDS):
        self._clock = clock
        self._max_records = max_records
        self._records = OrderedDict()
        self._kept = OrderedDict()
        self._kept_bytes = 0

    def __len__(self):
        return len(self._records)

    def has_record(self, operation):
        """Return whether an operation is on record."""
        return operation in self._records

    def is_full(self):
        """Return whether no further operation can be put on record."""
        self._forget()
        return len(self._records) >= self._max_records

    def refuse(self, operation, issued_at, reason):
        """Put an operation on record as not run, unless it is on record already.

        Parameters
        ----------
        operation : OperationId
        issued_at : float
            Seconds since the epoch.
        reason : RefusalReason

        Returns
        -------
        Answer
            The refusal, the answer on record, or UNKNOWN for an operation that is in
            flight or too old to be on record.
        """
        self._forget()
        record = self._records.get(operation)
        if record is not None:
            return record.answer or Answer.unknown(reason, operation)
        if self.is_full() or self._clock() - issued_at > ISSUE_VALIDITY:
            return Answer.unknown(reason, operation)
        record = _Record(b"", issued_at)
        record.answer = Answer.refuse(reason, operation)
        record.finished.set()
        self._records[operation] = record
        return record.answer

    async def run_once(self, operation, issued_at, fingerprint, run):
        """Run an operation unless it is on record, and return its answer.

        Parameters
        ----------
        operation : OperationId
        issued_at : float
            Seconds since the epoch.
        fingerprint : bytes
            Digest of the request; a repeat must have the same.
        run : callable
            Async function without arguments that returns an `Answer`. It is called
            at most once for an operation and shielded from cancellation, because
            its effect cannot be taken back.

        Returns
        -------
        Answer
        """
        self._forget()
        record = self._records.get(operation)
        if record is not None:
            return await self._repeat(operation, record, fingerprint)
        if self._clock() - issued_at > ISSUE_VALIDITY:
            return Answer.unknown(RefusalReason.OPERATION_EXPIRED, operation)
        if len(self._records) >= self._max_records:
            # Without a record a repeat could run, so this is no NOT_RUN.
            return Answer.unknown(RefusalReason.LEDGER_FULL, operation)
        record = _Record(fingerprint, issued_at)
        self._records[operation] = record
        try:
            with trio.CancelScope(shield=True):
                record.answer = await run()
        finally:
            # An error in `run` leaves the outcome open.
            if record.answer is None:
                record.answer = Answer.unknown(RefusalReason.ANSWER_LOST, operation)
            record.finished.set()
        answer = record.answer
        self._keep(operation, record)
        return answer

    async def _repeat(self, operation, record, fingerprint):
        refused = not record.fingerprint
        if not refused and record.fingerprint != fingerprint:
            return Answer.unknown(RefusalReason.OPERATION_MISMATCH, operation)
        await record.finished.wait()
        return record.answer

    def _keep(self, operation, record):
        size = len(record.answer.body)
        if size > _LARGEST_KEPT_ANSWER:
            record.answer = _without_body(record.answer)
            return
        self._kept[operation] = self._clock()
        self._kept_bytes += size
        while self._kept_bytes > _KEPT_ANSWER_BYTES:
            self._drop_answer()

    def _drop_answer(self):
        operation, _ = self._kept.popitem(last=False)
        record = self._records.get(operation)
        if record is not None:
            self._kept_bytes -= len(record.answer.body)
            record.answer = _without_body(record.answer)

    def _forget(self):
        now = self._clock()
        while self._kept:
            kept_at = next(iter(self._kept.values()))
            if now - kept_at < _ANSWER_RETENTION:
                break
            self._drop_answer()
        while self._records:
            operation, record = next(iter(self._records.items()))
            if record.answer is None or now - record.issued_at < _RETENTION:
                break
            del self._records[operation]


def make_ledger(clock):
    """Return an empty ledger; see `Ledger`."""
    return Ledger(clock)


def _without_body(answer):
    if answer.outcome is not Outcome.DONE or not answer.body:
        return answer
    return Answer(
        Outcome.DONE,
        answer.status,
        (),
        b"",
        RefusalReason.ANSWER_FORGOTTEN,
        answer.operation,
    )
