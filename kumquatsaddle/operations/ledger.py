"""The ledger records the outcome of each non-idempotent operation of this incarnation.

`Ledger.run_once` starts an operation at most once and answers every repeat from the
record. A record is removed only after the id can no longer be dispatched and the
longest deadline has passed. An id that has no record and is past its validity is
answered UNKNOWN.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import trio

from kumquatsaddle.exchange import Answer
from kumquatsaddle.operations.issuer import OPERATION_VALIDITY_SECONDS
from kumquatsaddle.types import Outcome, RefusalReason

__all__ = ["Ledger", "make_ledger"]

# Longest deadline of a request, the same as in `kumquatsaddle.configuration.entities`.
_MAX_DEADLINE_SECONDS = 60.0
_RECORD_RETENTION_SECONDS = OPERATION_VALIDITY_SECONDS + _MAX_DEADLINE_SECONDS
# Time for which whole answers are stored, and the limits of the size of one body and of
# all bodies. After that, only the outcome and the status remain on record.
_ANSWER_RETENTION_SECONDS = 120.0
_MAX_STORED_ANSWER_BYTES = 4096
_MAX_STORED_BYTES = 8 << 20
# Enough for 100 non-idempotent requests a second over the retention time.
_MAX_RECORDS = 66000


@dataclass(slots=True)
class _Record:
    # Empty for an operation that was refused.
    fingerprint: bytes
    issued_at: float
    finished: trio.Event = field(default_factory=trio.Event)
    answer: Answer | None = None


class Ledger:
    """The records of the operations of one incarnation.

    Parameters
    ----------
    clock : callable
        Returns seconds since the epoch.
    max_records : int, optional
        Maximum number of records; further operations are not run.
    """

    def __init__(self, clock, max_records=_MAX_RECORDS):
        self._clock = clock
        self._max_records = max_records
        self._records = OrderedDict()
        # Operation id to the time when its answer was stored, oldest first.
        self._answer_times = OrderedDict()
        self._stored_bytes = 0

    def __len__(self):
        return len(self._records)

    def has_record(self, operation):
        """Return whether an operation is on record."""
        return operation in self._records

    def is_full(self):
        """Return whether no further operation can be put on record."""
        self._remove_expired()
        return len(self._records) >= self._max_records

    def record_refusal(self, operation, issued_at, reason):
        """Record an operation as not run, unless it is on record already.

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
        self._remove_expired()
        record = self._records.get(operation)
        if record is not None:
            return record.answer or Answer.unknown(reason, operation)
        if self.is_full() or self._clock() - issued_at > OPERATION_VALIDITY_SECONDS:
            return Answer.unknown(reason, operation)
        record = _Record(b"", issued_at)
        record.answer = Answer.from_reason(reason, operation)
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
        self._remove_expired()
        record = self._records.get(operation)
        if record is not None:
            return await self._answer_repeat(operation, record, fingerprint)
        if self._clock() - issued_at > OPERATION_VALIDITY_SECONDS:
            return Answer.unknown(RefusalReason.OPERATION_EXPIRED, operation)
        if len(self._records) >= self._max_records:
            # NOT_RUN would be wrong: without a record, a repeat could run later.
            return Answer.unknown(RefusalReason.LEDGER_FULL, operation)
        record = _Record(fingerprint, issued_at)
        self._records[operation] = record
        try:
            with trio.CancelScope(shield=True):
                record.answer = await run()
        finally:
            # After an error in `run` the outcome is not known.
            if record.answer is None:
                record.answer = Answer.unknown(RefusalReason.ANSWER_LOST, operation)
            record.finished.set()
        answer = record.answer
        self._store_answer(operation, record)
        return answer

    async def _answer_repeat(self, operation, record, fingerprint):
        refused = not record.fingerprint
        if not refused and record.fingerprint != fingerprint:
            return Answer.unknown(RefusalReason.OPERATION_MISMATCH, operation)
        await record.finished.wait()
        return record.answer

    def _store_answer(self, operation, record):
        size = len(record.answer.body)
        if size > _MAX_STORED_ANSWER_BYTES:
            record.answer = _without_body(record.answer)
            return
        self._answer_times[operation] = self._clock()
        self._stored_bytes += size
        while self._stored_bytes > _MAX_STORED_BYTES:
            self._evict_oldest_answer()

    def _evict_oldest_answer(self):
        operation, _ = self._answer_times.popitem(last=False)
        record = self._records.get(operation)
        if record is not None:
            self._stored_bytes -= len(record.answer.body)
            record.answer = _without_body(record.answer)

    def _remove_expired(self):
        now = self._clock()
        while self._answer_times:
            stored_at = next(iter(self._answer_times.values()))
            if now - stored_at < _ANSWER_RETENTION_SECONDS:
                break
            self._evict_oldest_answer()
        while self._records:
            operation, record = next(iter(self._records.items()))
            if (
                record.answer is None
                or now - record.issued_at < _RECORD_RETENTION_SECONDS
            ):
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
