"""Prometheus counters, gauges and histograms of the gateway."""

import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress

__all__ = ["Metrics"]

# Span the latency objectives of routes, and their deadlines.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0)
# Observations kept until the client library is loaded; later ones are not counted meanwhile.
MAX_EARLY_OBSERVATIONS = 10_000


class _Instruments:
    """The counters, gauges and histograms, once the client library is loaded."""

    def __init__(self) -> None:
        # Loading the library takes a good part of an instance's start; callers do not wait for it.
        from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

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
        self.unanswered = Counter(
            "quetzalrudder_unanswered_statements",
            "Statements whose connection ended before their answer was sent, by the failure.",
            ["failure"],
            registry=self.registry,
        )
        self.share_changes = Counter(
            "quetzalrudder_read_share_changes",
            "Databases whose share of this instance's reads was reduced or restored.",
            ["change"],
            registry=self.registry,
        )
        self.queue_refusals = Counter(
            "quetzalrudder_queue_refusals",
            "Statements refused on arrival, as the queue was too long for their deadline.",
            ["priority", "workspace"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "quetzalrudder_store_calls",
            "Calls to the store by what they are for.",
            ["call"],
            registry=self.registry,
        )
        self.relay_faults = Counter(
            "quetzalrudder_relay_faults",
            "Requests for changes of the store that a relay failed, by fault.",
            ["fault"],
            registry=self.registry,
        )
        self.skipped_items = Counter(
            "quetzalrudder_store_items_skipped",
            "Items of the store that could not be applied, by prefix of the key.",
            ["prefix"],
            registry=self.registry,
        )
        self.store_returns = Counter(
            "quetzalrudder_store_returns",
            "Times that the store has come back from an older copy of itself.",
            registry=self.registry,
        )
        self.crossings = Counter(
            "quetzalrudder_data_centre_crossings",
            "Attempts of statements at a database of another data centre, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.unconfirmed_refusals = Counter(
            "quetzalrudder_unconfirmed_refusals",
            "Refusals for what an outdated view of the store lacks, by what that is.",
            ["missing"],
            registry=self.registry,
        )
        self.view_age_s = Gauge(
            "quetzalrudder_store_view_age_seconds",
            "Time since this instance's view of the store was last known to be current.",
            registry=self.registry,
        )
        self.sessions = Gauge(
            "quetzalrudder_sessions", "Sessions of callers that are open.", registry=self.registry
        )
        self.promotion_waits = Gauge(
            "quetzalrudder_promotion_waits",
            "Databases that this instance waits for before it promotes another one.",
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "quetzalrudder_evacuated_data_centres",
            "Data centres that this instance sends nothing to, at an operator's request.",
            registry=self.registry,
        )


class Metrics:
    """Metrics of the gateway. The number of label values is bounded.

    Observations made before :meth:`load` are counted by it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._instruments: _Instruments | None = None
        self._early: deque[Callable[[_Instruments], None]] = deque(maxlen=MAX_EARLY_OBSERVATIONS)

    def load(self) -> None:
        """Load the client library and count the earlier observations."""
        with self._lock:
            if self._instruments is None:
                self._instruments = _Instruments()
        self._count_early()

    def _count_early(self) -> None:
        while self._early:
            with suppress(IndexError):
                # Another thread may have taken the last one.
                self._early.popleft()(self._instruments)

    def _observe(self, observe: Callable[[_Instruments], None]) -> None:
        if self._instruments is not None:
            observe(self._instruments)
            return
        self._early.append(observe)
        if self._instruments is not None:
            # Loaded in the meantime.
            self._count_early()

    def count_statement(self, consistency: str, ending: str) -> None:
        """Count a statement by kind of route and ending."""
        self._observe(lambda found: found.statements.labels(consistency, ending).inc())

    def observe_latency(self, consistency: str, took_s: float) -> None:
        """Record the time from a statement's arrival to its answer."""
        self._observe(lambda found: found.latency_s.labels(consistency).observe(took_s))

    def count_fault(self, fault: str) -> None:
        """Count an attempt that a database refused or failed."""
        self._observe(lambda found: found.faults.labels(fault).inc())

    def count_unanswered(self, failure: str) -> None:
        """Count a statement that was read and not answered, by the class of the failure."""
        self._observe(lambda found: found.unanswered.labels(failure).inc())

    def count_share_change(self, change: str) -> None:
        """Count a database whose share of reads was reduced or restored."""
        self._observe(lambda found: found.share_changes.labels(change).inc())

    def count_queue_refusal(self, priority: int, workspace: str) -> None:
        """Count a statement that a queue refused on arrival; the caller bounds the workspaces."""
        self._observe(lambda found: found.queue_refusals.labels(priority, workspace).inc())

    def count_store_call(self, call: str) -> None:
        """Count a call to the store by what it is for."""
        self._observe(lambda found: found.store_calls.labels(call).inc())

    def count_relay_fault(self, fault: str) -> None:
        """Count a request for changes of the store that a relay failed."""
        self._observe(lambda found: found.relay_faults.labels(fault).inc())

    def count_skipped_item(self, prefix: str) -> None:
        """Count an item of the store that could not be applied."""
        self._observe(lambda found: found.skipped_items.labels(prefix).inc())

    def count_store_return(self) -> None:
        """Count a return of the store from an older copy."""
        self._observe(lambda found: found.store_returns.inc())

    def count_crossing(self, reason: str) -> None:
        """Count an attempt of a statement in another data centre."""
        self._observe(lambda found: found.crossings.labels(reason).inc())

    def count_unconfirmed_refusal(self, missing: str) -> None:
        """Count a refusal that is not for good, as this instance's view may lack a change."""
        self._observe(lambda found: found.unconfirmed_refusals.labels(missing).inc())

    def watch_view_age(self, read: Callable[[], float]) -> None:
        """Read the age of the view of the store whenever the metrics are rendered."""
        self._observe(lambda found: found.view_age_s.set_function(read))

    def set_sessions(self, count: int) -> None:
        """Record the number of open sessions."""
        self._observe(lambda found: found.sessions.set(count))

    def set_promotion_waits(self, count: int) -> None:
        """Record the number of databases that promotions wait for."""
        self._observe(lambda found: found.promotion_waits.set(count))

    def set_evacuated(self, count: int) -> None:
        """Record the number of evacuated data centres."""
        self._observe(lambda found: found.evacuated.set(count))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        self.load()
        return generate_latest(self._instruments.registry)
