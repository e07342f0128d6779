"""Admits requests of client accounts by tokens from the owners of their quotas.

The decisions are in `kumquatsaddle.accounts`; this module sends and receives their
messages over the socket of the `ZoneExchange`. An ask that is not answered is repeated
with the same number, and the owner answers a repeated ask without granting twice.

Load: see `kumquatsaddle.accounts.quota_tokens`. Asks that arise in the same pass of the
event loop share a datagram.
"""

from secrets import randbits

import trio

from kumquatsaddle.accounts.fleet_contact import (
    TAKEOVER_SECONDS,
    FleetContact,
    ViewHistory,
    ZoneView,
)
from kumquatsaddle.accounts.quota_owner import Grant, QuotaOwner, QuotaRefusal
from kumquatsaddle.accounts.quota_tokens import QuotaTokens
from kumquatsaddle.accounts.restart_tokens import RestartTokens
from kumquatsaddle.accounts.zone_descriptions import ZoneDescriptions
from kumquatsaddle.addresses.scores import hash_name
from kumquatsaddle.exceptions import RefusedError
from kumquatsaddle.logs import log_event
from kumquatsaddle.sharing.owner_addresses import OwnerAddresses
from kumquatsaddle.sharing.quota_asks import (
    AnsweredAsks,
    PendingAsks,
    SilentOwners,
    encode_ask,
)
from kumquatsaddle.sharing.quota_log import QuotaLog
from kumquatsaddle.sharing.quota_messages import (
    QuotaMessage,
    decode_quota_message,
    encode_quota_message,
)
from kumquatsaddle.types import RefusalReason

__all__ = ["Quotas", "make_quotas"]

# Time between updates of the instances in contact.
_TICK_SECONDS = 0.25
# Short beside an objective; an owner on a fast link answers within 50 ms.
_ANSWER_TIMEOUT_SECONDS = 0.25
# Updates between two removals of idle state.
_IDLE_CHECK_TICKS = 40
# Retry-After while it is not known when a grant is possible.
_UNKNOWN_RETRY_SECONDS = 0.5
# Resolution of the header Retry-After.
_MIN_RETRY_SECONDS = 0.1


class Quotas:
    """The quotas of client accounts at one instance.

    Parameters
    ----------
    exchange : ZoneExchange
    list_candidates : callable
        Returns the `InstanceRecord` of the instances of this zone that may own quotas.
    get_accounts : callable
        Returns the `AccountTable` in force, or None.
    metrics : Metrics
    bounds : QuotaBounds
    clock : callable
        Returns seconds that include the time in which the process is suspended.

    Attributes
    ----------
    is_listed : bool
        Whether the instances of the fleet have been listed. Before that an instance
        that has heard of no other does not know which part of the fleet it is.
    """

    def __init__(self, exchange, list_candidates, get_accounts, metrics, bounds, clock):
        self._exchange = exchange
        self._peers = exchange.peers
        self._list_candidates = list_candidates
        self._get_accounts = get_accounts
        self._metrics = metrics
        self._clock = clock
        now = clock()
        own = self._peers.own.name
        self._contact = FleetContact(own)
        self._history = ViewHistory(own, now)
        self._owner = QuotaOwner(self._history, bounds)
        self._tokens = QuotaTokens()
        self._silent_owners = SilentOwners()
        self._restart_tokens = RestartTokens(now, bounds.slack)
        self._asks = PendingAsks()
        self._incarnation = randbits(64)
        self._answered = AnsweredAsks()
        self._descriptions = ZoneDescriptions(now)
        self._addresses = OwnerAddresses(self._peers)
        self._log = QuotaLog(now)
        self.is_listed = False
        for refusal in QuotaRefusal:
            metrics.count("quota_refusals", 0, cause=refusal.value)
        for source in ("held", "own", "asked", "restart"):
            metrics.count("quota_grants", 0, source=source)

    async def admit(self, account, deadline, request_id=b""):
        """Admit a request; return when it has a token.

        Parameters
        ----------
        account : ClientAccount
        deadline : float
            Of the request, on the clock of trio in seconds.
        request_id : bytes, optional
            For the log.

        Raises
        ------
        RefusedError
            With the reason ACCOUNT_LIMIT.
        """
        if account.quota is None:
            return
        name, now = account.name, self._clock()
        self._observe(now)
        if self._tokens.try_take(name, now):
            self._metrics.count("quota_grants", source="held")
            return
        owner = self._history.find_owner(name)
        if owner == self._history.own:
            source, grant = "own", self._owner.grant(name, account.quota, 1, 0, now)
        else:
            source, grant = "asked", await self._request(name, owner, deadline, now)
        if not grant.granted and self._admits_after_restart(account, grant):
            source = "restart"
        elif not grant.granted:
            self._refuse(account, owner, grant, request_id)
        self._metrics.count("quota_grants", source=source)

    def is_recently_started(self):
        """Return whether this instance has started recently."""
        return self._restart_tokens.is_recent(self._clock())

    def _admits_after_restart(self, account, grant):
        """Return whether a request that no owner decided on is admitted here."""
        now = self._clock()
        if grant.refusal is QuotaRefusal.LIMIT or not self.is_listed:
            return False
        if not self._restart_tokens.is_recent(now):
            return False
        if not self._contact.has_restarted(now):
            return False
        active = self._peers.count_expected_active()
        return self._restart_tokens.try_take(account.name, account.quota, active, now)

    def give_back(self, account):
        """Return the token of an account's request that was admitted and has not run.

        Parameters
        ----------
        account : ClientAccount
        """
        if account.quota is None:
            return
        name, now = account.name, self._clock()
        self._metrics.count("quota_returns")
        if self._history.find_owner(name) == self._history.own:
            self._owner.give_back(name, account.quota, 1, now)
        else:
            self._tokens.give_back(name, now)

    async def run(self):
        """Send asks and follow the instances in contact, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_asks)
            ticks = 0
            while True:
                self.update_view(self._clock())
                self._ask_for_returns()
                self._answered.forget(self._clock())
                ticks += 1
                if ticks % _IDLE_CHECK_TICKS == 0:
                    self._remove_idle()
                await trio.sleep(_TICK_SECONDS)

    def update_view(self, now):
        """Update which instances are in contact and who owns what."""
        self._observe(now)
        peers = self._peers
        is_known = self.is_listed or len(peers.instances) > 1
        if self._get_accounts() is None or not is_known:
            return
        self._contact.note_peers(peers.peers, now)
        active = [record.name for record in self._list_candidates()]
        zone_view = self._contact.make_zone_view(active, now)
        if self._descriptions.update(zone_view, now):
            self._exchange.send_summary_soon()
        listed = {
            zone: len(records) for zone, records in peers.group_other_zones().items()
        }
        view = self._contact.make_view(zone_view, listed, now)
        self._metrics.set_gauge("quota_share", view.share)
        if self._history.update(view, now):
            log_event(
                "quota_owner_changed",
                owners=len(view.candidates),
                live=view.live,
                known=view.known,
                takeover_delay=TAKEOVER_SECONDS,
            )

    def hear_peer(self, report):
        """Record a `Report` of a peer."""
        name, now = report.sender.name, self._clock()
        self._contact.hear_peer(
            name, report.leaving, report.holds_quotas, now, report.recently_started
        )

    def hear_zone(self, report):
        """Record the summary of another zone, a `Report`."""
        if report.partial:
            return
        zone, view = report.sender.zone, report.zone_view
        now = trio.current_time()
        for record in report.zone_records:
            self._peers.add_instance(record, now)
        if view is None:
            # An older build leads the zone, or it has no client accounts yet.
            number = len(self._peers.group_other_zones().get(zone, ()))
            view = ZoneView((), number, number)
        self._contact.hear_zone(zone, view, self._clock())

    def describe_zone(self):
        """Return the `ZoneView` for a summary and the records to send with it.

        The view is None without client accounts.
        """
        view = self._descriptions.view
        if view is None or not self._descriptions.add_summary(self._clock()):
            return view, ()
        candidates = self._list_candidates()
        records = [item for item in candidates if hash_name(item.name) in view.active]
        return view, tuple(records)

    def handle(self, data, address):
        """Handle a datagram with a `QuotaMessage`.

        Parameters
        ----------
        data : bytes
        address : Address
            Of its sender.

        Raises
        ------
        MessageError
        """
        message, now = decode_quota_message(data), self._clock()
        self._observe(now)
        self._silent_owners.discard(hash_name(message.sender))
        if message.asks:
            answers = tuple(
                (ask.number, self._answer(message, ask, now)) for ask in message.asks
            )
            answer = QuotaMessage(
                self._peers.own.name, message.incarnation, answers=answers
            )
            self._send(answer, address)
        if message.answers and message.incarnation == self._incarnation:
            for number, grant in message.answers:
                self._apply(number, grant, now)

    def _observe(self, now):
        """Start over as a new owner if the process was suspended."""
        gap = self._history.observe(now)
        if gap:
            log_event("quota_owner_paused", level="WARNING", seconds=round(gap, 2))
            self._metrics.count("quota_pauses")
            self.update_view(now)

    def _answer(self, message, ask, now):
        """Return the `Grant` for an ask; the same one if it is repeated."""
        grant = self._answered.find(message, ask)
        if grant is None:
            grant = self._grant(ask, now)
            self._answered.add(message, ask, grant, now)
            outcome = grant.refusal.value if grant.refusal else "granted"
            self._metrics.count("quota_asks_answered", outcome=outcome)
        else:
            self._metrics.count("quota_asks_repeated")
        return grant

    def _grant(self, ask, now):
        accounts = self._get_accounts()
        account = accounts.accounts.get(ask.account) if accounts is not None else None
        if account is None:
            # The version of this instance differs from that of the sender.
            return Grant(0, _UNKNOWN_RETRY_SECONDS, QuotaRefusal.NOT_OWNER)
        quota = account.quota
        if ask.returned:
            self._owner.give_back(ask.account, quota, ask.returned, now)
        if not ask.needed:
            return Grant(0)
        return self._owner.grant(ask.account, quota, ask.needed, ask.advance, now)

    async def _request(self, name, owner, deadline, now):
        """Return the `Grant` for one request that another instance owns."""
        if owner is None:
            return Grant(0, _UNKNOWN_RETRY_SECONDS, QuotaRefusal.NO_OWNER)
        blocking = self._tokens.find_block(name, now)
        if blocking is not None:
            return blocking
        if not self._silent_owners.may_ask(owner, now):
            return Grant(0, _UNKNOWN_RETRY_SECONDS, QuotaRefusal.UNANSWERED)
        ask = self._asks.join(owner, name)
        timeout_at = trio.current_time() + _ANSWER_TIMEOUT_SECONDS
        try:
            with trio.move_on_at(min(deadline, timeout_at)):
                await ask.answered.wait()
        finally:
            has_token = ask.leave()
        if ask.grant is None:
            if trio.current_time() >= timeout_at:
                self._silent_owners.add(owner, self._clock())
            self._metrics.count("quota_unanswered")
        elif has_token and self._asks.is_valid(ask, self._clock()):
            return Grant(1)
        elif ask.grant.refusal is not None:
            return Grant(0, ask.grant.retry_after, ask.grant.refusal)
        return Grant(0, _UNKNOWN_RETRY_SECONDS, QuotaRefusal.UNANSWERED)

    def _apply(self, number, grant, now):
        """Apply the answer to an ask, which may come late."""
        ask = self._asks.pop(number)
        if ask is None:
            return
        surplus = ask.set_grant(grant)
        self._tokens.hold(ask.account, surplus, ask.sent_at, now)
        if grant.refusal is not None:
            self._tokens.block(ask.account, grant, now)

    async def _send_asks(self):
        """Send and repeat asks, one datagram for each owner, until cancelled."""
        while True:
            await self._asks.wait_until_due()
            now = self._clock()
            for owner, asks in self._asks.pop_due(now).items():
                encoded = tuple(encode_ask(ask, self._tokens, now) for ask in asks)
                address = self._addresses.find(owner)
                if address is None:
                    self._metrics.count("quota_owners_unknown")
                    continue
                message = QuotaMessage(self._peers.own.name, self._incarnation, encoded)
                self._send(message, address)

    def _ask_for_returns(self):
        """Return tokens to the owners of accounts that have no ask to go with."""
        for name in self._tokens.list_returning():
            owner = self._history.find_owner(name)
            if owner is None or owner == self._history.own:
                self._tokens.pop_returned(name)
            else:
                self._asks.add_return(owner, name)

    def _remove_idle(self):
        now = self._clock()
        self._owner.remove_idle(now)
        self._tokens.remove_idle(now)
        self._metrics.set_gauge("quota_buckets", len(self._owner))

    def _send(self, message, address):
        data = encode_quota_message(message)
        self._metrics.count("quota_messages_sent")
        self._metrics.count("quota_bytes_sent", len(data))
        self._exchange.send(data, address)

    def _refuse(self, account, owner, grant, request_id):
        cause, retry_after = grant.refusal, max(grant.retry_after, _MIN_RETRY_SECONDS)
        self._metrics.count("quota_refusals", cause=cause.value)
        self._log.add(
            request_id,
            account.name,
            grant,
            self._addresses.describe(owner),
            retry_after,
            self._clock(),
        )
        raise RefusedError(RefusalReason.ACCOUNT_LIMIT, cause.value, retry_after)


def make_quotas(exchange, list_candidates, get_accounts, metrics, bounds, clock):
    """Return the quotas of one instance, attached to its exchange; see `Quotas`."""
    quotas = Quotas(exchange, list_candidates, get_accounts, metrics, bounds, clock)
    exchange.quotas = quotas
    return quotas
