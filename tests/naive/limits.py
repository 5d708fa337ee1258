"""Naive limits: each instance uses the limit divided by the live instances it sees."""


class EqualSplitBucket:
    """A local token bucket of a workspace, which is full when the instance starts."""

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
        refilled = self.tokens + self.rate_per_s / self.live_instances * (now - self.refilled_at)
        self.tokens = min(self.burst / self.live_instances, refilled)
        self.refilled_at = now

    def spend(self, cost):
        self._refill()
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


class FixedPermits:
    """A fixed number of permits for each instance, regardless of those in use elsewhere."""

    def __init__(self, count):
        self.free_permits = count

    def reserve(self, target):
        if not self.free_permits:
            return False
        self.free_permits -= 1
        return True

    def release(self, target):
        self.free_permits += 1

    def reserve_from_peers(self, target):
        return False

    def permits_to_return(self, target):
        return 0
