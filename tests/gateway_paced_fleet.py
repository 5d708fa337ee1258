"""A fleet whose calls to the store take place as often as in the real process.

The instances of :mod:`tests.gateway_fleet` watch the store at every step. Here a watch is
answered when something has changed or its wait is over, and pauses between calls are kept.
"""

from collections import Counter

from quetzalrudder.gateway.mirror import PrefixHandler
from quetzalrudder.gateway.relays import RELAY_ANSWER_MARGIN_S
from quetzalrudder.gateway.store_calls import StoreCall
from tests.gateway_fleet import GatewayFleet, catalog

CONFIG_KEY = "op/config"
# A renewal of a lease costs a tenth of another call.
PRICES = dict.fromkeys(StoreCall, 1.0) | {StoreCall.LEASE_KEEP: 0.1}


class PacedMirror:
    """Steps a mirror when its pending call would return."""

    def __init__(self, instance):
        self.instance = instance
        self.mirror = instance.mirror
        self.clock = instance.fleet.clock
        self.paused_until = 0.0
        # True while the pause is one after a failed call.
        self.retries = False
        self.asked_at = self.clock.now
        # The waits of the pending call, as they were when it was made.
        self.own_wait_s = self.relay_wait_s = None

    def step(self):
        if self.clock.now < self.paused_until and self.retries and self.mirror.retry_pause.end():
            self.paused_until = self.asked_at = self.clock.now
        if self.clock.now < self.paused_until or self._is_waiting():
            return
        succeeded = self.mirror.step()
        pause_s = self.mirror.pause_s(succeeded=succeeded)
        self.retries = not succeeded
        self.paused_until = self.clock.now + pause_s
        self.asked_at = self.paused_until
        self.own_wait_s = self.relay_wait_s = None

    def _is_waiting(self):
        """Return whether the call that is made now has no answer yet."""
        fleet, mirror = self.instance.fleet, self.mirror
        if self.own_wait_s is None:
            self.own_wait_s = mirror.next_wait_s
            self.relay_wait_s = mirror.relays.next_wait_s
        if mirror.revision is None:
            return False
        relay = mirror.relays.choose()
        if relay is None:
            history = fleet.store.history
            changed = bool(history) and history[-1].revision > mirror.revision
            answered = changed or self.instance.is_cut_from_store
            return not answered and self.clock.now < self.asked_at + self.own_wait_s
        peer = fleet.by_name[relay.address]
        if peer.frozen or peer.cut_from_peers or self.instance.cut_from_peers:
            return self.clock.now < self.asked_at + self.relay_wait_s + RELAY_ANSWER_MARGIN_S
        change_log = peer.gateway.change_log
        answered = not change_log.is_watching or change_log.revision > mirror.revision
        return not answered and self.clock.now < self.asked_at + self.relay_wait_s


class PacedFleet(GatewayFleet):
    """A large fleet in three data centres, with its calls to the store by reason."""

    def __init__(self, size, seed=1):
        self.calls = Counter()
        names = [f"edge-{number}" for number in range(size)]
        super().__init__(names, seed)
        self.publish(1)

    def data_centre(self, name):
        return f"dc-{int(name.removeprefix('edge-')) % 3}"

    def handlers(self, gateway):
        def apply_change(item):
            if item.key == CONFIG_KEY:
                gateway.catalogs.update_if_newer(catalog(int(item.value)), item.value)

        def replace_all(items):
            for item in items:
                apply_change(item)

        return [
            PrefixHandler(CONFIG_KEY, replace_all, apply_change),
            PrefixHandler("servers/", lambda items: None, lambda item: None),
        ]

    def start(self, name, seed=0):
        started = super().start(name, seed)
        started.gateway.metrics.count_store_call = lambda call: self.calls.update([StoreCall(call)])
        started.mirror = PacedMirror(started)
        return started

    def publish(self, version):
        """Write a configuration, as an operator does."""
        self.store.put(CONFIG_KEY, str(version).encode(), None)

    def restart_all(self):
        """Replace all processes at once, after their leases have ended."""
        names = [instance.name for instance in self.instances]
        for instance in self.instances:
            instance.frozen = True
        self.run(3.0)
        for index, name in enumerate(names):
            self.start(name, 100 + index)

    def price(self):
        """Return the price of the calls since the last look, and forget them."""
        calls, self.calls = self.calls, Counter()
        return sum(PRICES[call] * count for call, count in calls.items()), calls
