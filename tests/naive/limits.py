"""The naive way: each instance has its own bucket, an equal part by the live count it sees."""


class EqualSplitBucket:
    """A local token bucket of one workspace, full when the instance starts."""

    def __init__(self, rate_per_s, burst, clock, live_instances):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        self.live_instances = live_instances
        self.tokens = burst / live_instances
        self.refilled_at = clock.monotonic()

    def set_live_instances(self, live_instances):
        self._refill()
        self.live_instances = live_instances

    def _refill(self):
        now = self.clock.monotonic()
        grown = self.tokens + self.rate_per_s / self.live_instances * (now - self.refilled_at)
        self.tokens = min(self.burst / self.live_instances, grown)
        self.refilled_at = now

    def spend(self, cost):
        self._refill()
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


class FixedPermits:
    """Permits by a fixed number for each instance, whatever the others hold."""

    def __init__(self, count):
        self.left = count

    def reserve(self, target):
        if not self.left:
            return False
        self.left -= 1
        return True

    def release(self, target):
        self.left += 1

    def reserve_from_peers(self, target):
        return False

    def permits_to_return(self, target):
        return 0
