"""Prometheus counters, gauges and histograms of the gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["Metrics"]

# Span the latency objectives of the users' routes, 200 to 600 ms, and their deadlines.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0)


class Metrics:
    """Metrics of the gateway. Label values come from the code, so their number is bounded."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.statements = Counter(
            "quetzalrudder_statements",
            "Statements by kind of route and ending.",
            ["consistency", "ending"],
            registry=self.registry,
        )
        self.latency_s = Histogram(
            "quetzalrudder_statement_seconds",
            "Time from a statement's arrival to its answer.",
            ["consistency"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.faults = Counter(
            "quetzalrudder_target_faults",
            "Attempts that a database refused or failed, by fault.",
            ["fault"],
            registry=self.registry,
        )
        self.sessions = Gauge(
            "quetzalrudder_sessions", "Sessions of callers that are open.", registry=self.registry
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
