"""Metrics sent to a statsd server, if its address is set."""

from statsd import StatsClient

from quetzalrudder.utils import parse_address

__all__ = ["Metrics"]

PREFIX = "quetzalrudder"


class Metrics:
    """Counters, gauges and timings of one instance.

    Parameters
    ----------
    address : str, optional
        IP address and port of the statsd server; nothing is sent if omitted or empty.
    """

    def __init__(self, address: str | None) -> None:
        self._client: StatsClient | None = None
        if address:
            parsed = parse_address(address)
            self._client = StatsClient(parsed.host, parsed.port, prefix=PREFIX)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing_ms(self, name: str, value: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, value)
