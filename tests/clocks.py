class ManualClock:
    """A clock that only a test advances; sleeping and waiting advance it too."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.advance(seconds)

    def wait(self, event, seconds):
        if not event.is_set():
            self.advance(seconds)
        return event.is_set()

    def advance(self, seconds: float) -> None:
        self.now += seconds
