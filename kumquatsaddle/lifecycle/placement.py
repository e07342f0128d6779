"""Derives the placement of an instance again when its inputs change."""

import trio

from kumquatsaddle.addresses.answers import order_homes
from kumquatsaddle.addresses.groups import Backend
from kumquatsaddle.addresses.homes import HomeCandidate
from kumquatsaddle.addresses.planner import make_planner
from kumquatsaddle.health.newcomers import Newcomers
from kumquatsaddle.lifecycle.claims import share_claims
from kumquatsaddle.types import BackendId, InstanceState

__all__ = ["PlacementWatch", "make_placement_watch"]

# Shortest time in seconds between two derivations of the placement.
_PLACEMENT_INTERVAL = 0.2
# States in which an instance still answers requests for the groups it is home of.
_HOLDING = (InstanceState.ALIVE, InstanceState.IMPAIRED, InstanceState.LEAVING)
# Orders of homes that are kept, one for each service and account in use.
_MAX_HOME_ORDERS = 8192


class PlacementWatch:
    """Owns the placement and the list of backend servers of a node.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        self.backends = []
        self._planner = make_planner()
        self.placement = self._planner.derive((), (), ())
        self._newcomers = Newcomers()
        self._key = None
        self._held_groups = {}
        self._home_orders = {}

    async def run(self):
        """Update the placement until cancelled."""
        while True:
            await trio.sleep(_PLACEMENT_INTERVAL)
            await self.update()

    def order_homes(self, service, account):
        """Return the serving homes of a service in the order of an account."""
        key = (service, account)
        order = self._home_orders.get(key)
        if order is None:
            order = order_homes(self.placement.homes_of(service), service, account)
            if len(self._home_orders) >= _MAX_HOME_ORDERS:
                self._home_orders.clear()
            self._home_orders[key] = order
        # The placement follows a change of the members with a short delay.
        return [name for name in order if self._may_serve(name)]

    async def update(self):
        """Derive the placement again if its inputs have changed."""
        node = self._node
        key = (
            node.table.generation,
            node.configuration.version,
            tuple(self.backends),
        )
        if key == self._key:
            return
        self._key = key
        share_claims(node.claim_bucket, len(node.table.members))
        candidates = [
            HomeCandidate(member.name, member.zone, member.region)
            for member in node.serving_members()
        ]
        services = node.configuration.services
        self.placement = self._planner.derive(
            services.values(), self.backends, candidates
        )
        self._home_orders.clear()
        await node.dispatcher.update_groups(
            services,
            self._select_groups().values(),
            self._newcomers.current(trio.current_time()),
        )

    def take_list(self):
        """Take over the list of backend servers and the drains of operators."""
        distribution = self._node.distribution
        if distribution.backends is None:
            # There is no list yet, which is not the same as an empty one.
            return
        drains = self._node.configuration.drains
        self.backends = [
            Backend(
                BackendId(entry.name),
                entry.service,
                entry.address,
                entry.zone,
                entry.region,
                entry.leaving or entry.name in drains,
            )
            for entry in distribution.backends
        ]
        names = [backend.name for backend in self.backends]
        self._newcomers.update(names, trio.current_time())
        self._node.gossip.seeds |= {
            entry.address for entry in distribution.listed if entry.role == "entry"
        }

    def _select_groups(self):
        """Return the groups that the node is home of, by name."""
        node = self._node
        groups = {group.name: group for group in self.placement.groups_of(node.name)}
        if node.table.own.state is InstanceState.LEAVING:
            # Requests in flight still need the servers that this instance was home of.
            groups = self._held_groups | groups
        self._held_groups = groups
        return groups

    def _may_serve(self, name):
        member = self._node.table.members.get(name)
        return member is not None and member.state in _HOLDING


def make_placement_watch(node):
    """Return the placement watch of a node, without any backend server."""
    return PlacementWatch(node)
