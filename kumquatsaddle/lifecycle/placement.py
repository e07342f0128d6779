"""Derives the placement of an instance anew when its inputs change."""

import trio

from kumquatsaddle.addresses.answers import order_homes
from kumquatsaddle.addresses.groups import Backend
from kumquatsaddle.addresses.homes import HomeCandidate
from kumquatsaddle.addresses.planner import make_planner
from kumquatsaddle.health.new_servers import NewServers
from kumquatsaddle.lifecycle.claim_rate import set_claim_rate
from kumquatsaddle.types import BackendId, InstanceState

__all__ = ["PlacementManager", "make_placement_manager"]

# Interval at which the inputs of the placement are checked for changes.
_PLACEMENT_INTERVAL_SECONDS = 0.2
# States in which an instance answers requests for the groups that it is home of.
_ANSWERING_STATES = (InstanceState.ALIVE, InstanceState.IMPAIRED, InstanceState.LEAVING)
# Cached orders of homes, one for each service and account in use.
_MAX_CACHED_ORDERS = 8192


class PlacementManager:
    """Maintains the placement and the list of backend servers of a node.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        self.backends = []
        self._planner = make_planner()
        self.placement = self._planner.derive((), (), ())
        self._newcomers = NewServers()
        self._derived_inputs = None
        self._retained_groups = {}
        self._home_orders = {}

    async def run(self):
        """Update the placement until cancelled."""
        while True:
            await trio.sleep(_PLACEMENT_INTERVAL_SECONDS)
            await self.update()

    def order_homes(self, service, account):
        """Return the homes of a service that answer, in the order of an account."""
        key = (service, account)
        order = self._home_orders.get(key)
        if order is None:
            order = order_homes(self.placement.homes_of(service), service, account)
            if len(self._home_orders) >= _MAX_CACHED_ORDERS:
                self._home_orders.clear()
            self._home_orders[key] = order
        # The members may have changed since the placement was derived.
        return [name for name in order if self._is_answering(name)]

    async def update(self):
        """Derive the placement anew if its inputs have changed."""
        node = self._node
        inputs = (
            node.table.generation,
            node.configuration.version,
            tuple(self.backends),
        )
        if inputs == self._derived_inputs:
            return
        self._derived_inputs = inputs
        set_claim_rate(node.claim_bucket, len(node.table.members))
        candidates = [
            HomeCandidate(member.name, member.zone, member.region)
            for member in node.list_serving_members()
        ]
        services = node.configuration.services
        self.placement = self._planner.derive(
            services.values(), self.backends, candidates
        )
        self._home_orders.clear()
        await node.dispatcher.update_groups(
            services,
            self._select_groups().values(),
            self._newcomers.list_new(trio.current_time()),
        )

    def update_backends(self):
        """Apply the last list of backend servers and the operators' drains."""
        distribution = self._node.distribution
        if distribution.backends is None:
            # No list has been read yet; this is not an empty list.
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
            entry.address
            for entry in distribution.listed_instances
            if entry.role == "entry"
        }

    def _select_groups(self):
        """Return the groups by name whose backend servers this node uses."""
        node = self._node
        groups = {group.name: group for group in self.placement.list_groups(node.name)}
        if node.table.own.state is InstanceState.LEAVING:
            # Requests in flight still need the servers of the groups that this instance
            # was home of.
            groups = self._retained_groups | groups
        self._retained_groups = groups
        return groups

    def _is_answering(self, name):
        member = self._node.table.members.get(name)
        return member is not None and member.state in _ANSWERING_STATES


def make_placement_manager(node):
    """Return the placement manager of a node, without any backend server."""
    return PlacementManager(node)
