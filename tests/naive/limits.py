"""Naive limits: each instance has an equal part of the limit, by the live count that it sees."""


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
    """A fixed number of permits for each instance, however many the others hold."""

    def __init__(self, count):
        self.permits_left = count

    def reserve(self, target):
        if not self.permits_left:
            return False
        self.permits_left -= 1
        return True

    def release(self, target):
        self.permits_left += 1

    def reserve_from_peers(self, target):
        return False

    def permits_to_return(self, target):
        return 0
