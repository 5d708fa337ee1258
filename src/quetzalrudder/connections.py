"""Connections of callers: authentication, then one request at a time."""

import logging
import threading
from concurrent.futures import Executor
from contextlib import suppress

from result import Err, Ok, Result

from quetzalrudder.access import (
    CallerIdentity,
    KeyGuard,
    authenticate,
    check_frame,
    contains_key,
    has_effect,
    key_withdrawn_error,
    withhold_answer,
)
from quetzalrudder.bridge import Pipe
from quetzalrudder.exceptions import (
    Draining,
    InternalError,
    LinkLost,
    MalformedMessage,
    Overloaded,
    QuetzalrudderError,
    Starting,
    to_failure,
)
from quetzalrudder.logs import request_logger
from quetzalrudder.metrics import Metrics
from quetzalrudder.models import DataCentre, InstanceId, WorkspaceId
from quetzalrudder.rates import RateLimiter
from quetzalrudder.schema.caller import (
    Answer,
    AnswerFrame,
    AskOutcome,
    Begin,
    CallerFrame,
    Commit,
    Hello,
    MoveOn,
    Rollback,
    Statement,
    Welcome,
)
from quetzalrudder.schema.common import Ending
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.statements import Plan, StatementRunner
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.transactions import CallerTransactions, TransactionRunner
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["CallerConnection", "CallerConnections"]

CallerPipe = Pipe[CallerFrame, AnswerFrame]

HELLO_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 5.0
# Interval at which an idle connection checks its open transactions for expiry.
OPEN_TRANSACTION_CHECK_INTERVAL_S = 0.5
RETRY_AFTER_MS = 1000
KEY_SWEEP_INTERVAL_S = 0.25


class CallerConnection:
    """Serves one caller in one thread until the connection ends.

    Parameters
    ----------
    pipe : Pipe
        The caller's stream.
    connections : CallerConnections
        The services that all caller connections of the instance share.
    """

    def __init__(self, pipe: CallerPipe, connections: "CallerConnections") -> None:
        self._pipe = pipe
        self._connections = connections
        self._transactions = CallerTransactions(connections.transactions, self._admit)
        self._guard: KeyGuard | None = None
        # The request in progress; :meth:`close_if_withdrawn` reports its ending.
        self._running: CallerFrame | None = None

    def serve(self) -> None:
        """Serve until the caller disconnects or the instance drains."""
        try:
            self._serve()
        except LinkLost:
            return
        except QuetzalrudderError as exc:
            self._send_closing_failure(exc)
        except Exception:
            logging.getLogger(__name__).exception(
                "caller connection failed with an unexpected error"
            )
            self._send_closing_failure(InternalError("internal error"))
        finally:
            self._pipe.close()

    def _send_closing_failure(self, exc: QuetzalrudderError) -> None:
        try:
            self._pipe.send(AnswerFrame(failure=to_failure(exc)), SEND_TIMEOUT_S)
        except QuetzalrudderError:
            return

    def _serve(self) -> None:
        caller = self._authenticate()
        with self._transactions:
            while (frame := self._next_frame(caller)) is not None:
                self._running = frame
                answer = self._handle(caller, frame)
                self._pipe.send(answer, SEND_TIMEOUT_S)
                self._running = None
                if self._guard.withdrawn:
                    return

    def wake(self) -> None:
        """Make an idle connection check whether the instance drains; callable in any thread."""
        if self._guard is not None:
            self._pipe.wake()

    def close_if_withdrawn(self) -> None:
        """Close the connection if the caller's key was withdrawn, and report this to the caller.

        Callable in any thread.
        """
        guard = self._guard
        if guard is None or not guard.withdrawn:
            return
        running = self._running
        interrupts_write = running is not None and has_effect(running)
        exc = key_withdrawn_error(
            guard.caller, Ending.UNKNOWN if interrupts_write else Ending.NOT_RUN
        )
        with suppress(QuetzalrudderError):
            self._pipe.send(AnswerFrame(failure=to_failure(exc)), 0)
        self._pipe.close()

    def send_move_on(self) -> None:
        """Direct the caller to another instance for new requests; callable in any thread."""
        with suppress(QuetzalrudderError):
            self._pipe.send(AnswerFrame(move_on=MoveOn()), 0)

    @property
    def running_request(self) -> str:
        """Id of the request in progress; empty while idle."""
        running = self._running
        return running.request_id if running is not None else ""

    def _authenticate(self) -> CallerIdentity:
        try:
            frame = self._pipe.recv(HELLO_TIMEOUT_S)
        except TimeoutError:
            raise MalformedMessage("the hello frame did not arrive", place="hello") from None
        if not isinstance(frame.hello, Hello):
            raise MalformedMessage("the first frame must be a hello frame", place="hello")
        if frame.hello.key and not self._connections.store.is_loaded:
            raise _starting_error()
        guard = KeyGuard(
            self._connections.store, WorkspaceId(frame.hello.workspace), frame.hello.key
        )
        checked = authenticate(self._connections.store, guard.caller)
        if isinstance(checked, Err):
            raise checked.err_value
        self._guard = guard
        if guard.withdrawn:
            raise key_withdrawn_error(guard.caller)
        welcome = Welcome(
            instance=self._connections.instance, data_centre=self._connections.data_centre
        )
        self._pipe.send(AnswerFrame(request_id=frame.request_id, welcome=welcome), SEND_TIMEOUT_S)
        return guard.caller

    def _next_frame(self, caller: CallerIdentity) -> CallerFrame | None:
        while True:
            try:
                # Without an open transaction, the thread waits for a frame or a wake-up
                # without a timeout.
                return self._pipe.recv(
                    OPEN_TRANSACTION_CHECK_INTERVAL_S if self._transactions.count else None
                )
            except TimeoutError:
                self._abandon_unusable_transactions(caller)
                if self._connections.draining.is_set() and not self._transactions.count:
                    self._pipe.send(AnswerFrame(move_on=MoveOn()), SEND_TIMEOUT_S)
                    return None

    def _abandon_unusable_transactions(self, caller: CallerIdentity) -> None:
        if not self._transactions.count:
            return
        if isinstance(caller.recheck(), Err):
            self._transactions.abandon_all()
        self._transactions.abandon_expired()

    def _handle(self, caller: CallerIdentity, frame: CallerFrame) -> AnswerFrame:
        started_at = self._connections.clock.monotonic()
        result = self._run(caller, frame)
        if self._guard.withdrawn:
            result = withhold_answer(caller, frame, result)
        elapsed_ms = (self._connections.clock.monotonic() - started_at) * MS_PER_S
        # A request id that contains the key is neither logged nor recorded.
        logged_id = "" if contains_key(caller, frame.request_id) else frame.request_id
        self._connections.record_request(caller, logged_id, result, elapsed_ms)
        match result:
            case Ok(answer):
                return AnswerFrame(request_id=frame.request_id, answer=answer)
            case Err(exc):
                return AnswerFrame(request_id=frame.request_id, failure=to_failure(exc))

    def _run(
        self, caller: CallerIdentity, frame: CallerFrame
    ) -> Result[Answer, QuetzalrudderError]:
        if not self._connections.store.is_loaded:
            return Err(_starting_error())
        self._transactions.abandon_expired()
        tree = self._connections.store.tree
        checked = caller.recheck().and_then(lambda _: check_frame(tree, caller, frame))
        if isinstance(checked, Err):
            if self._guard.withdrawn:
                self._transactions.abandon_all()
            return checked
        runner = self._connections.runner
        match frame:
            case CallerFrame(statement=Statement() as stmt) if stmt.transaction_id:
                return self._transactions.run(caller, stmt)
            case CallerFrame(statement=Statement() as stmt):
                planned = runner.plan(tree, caller, frame.request_id, stmt)
                return planned.and_then(self._admit).and_then(lambda plan: runner.run(plan, stmt))
            case CallerFrame(ask_outcome=AskOutcome() as ask):
                planned = runner.plan(tree, caller, frame.request_id, ask)
                admitted = planned.and_then(self._admit)
                return admitted.and_then(lambda plan: runner.ask_outcome(plan, ask))
            case CallerFrame(begin=Begin()) if self._connections.draining.is_set():
                return Err(Draining("the instance is shutting down", retry_after_ms=1))
            case CallerFrame(request_id=request_id, begin=Begin() as begin):
                return self._transactions.begin(tree, caller, request_id, begin)
            case CallerFrame(request_id=request_id, commit=Commit() as commit):
                return self._transactions.commit(tree, caller, request_id, commit)
            case CallerFrame(rollback=Rollback() as rollback):
                return self._transactions.rollback(rollback.transaction_id)
            case _:
                return Err(MalformedMessage("the frame is of an unknown kind", place="frame"))

    def _admit(self, plan: Plan) -> Result[Plan, QuetzalrudderError]:
        """Charge the request's cost to its workspace's rate."""
        admitted = self._connections.rates.admit(plan.caller.workspace, plan.settings.cost)
        return admitted.map(lambda _: plan)


def _starting_error() -> Starting:
    return Starting("the instance has no settings yet", retry_after_ms=RETRY_AFTER_MS)


class CallerConnections:
    """All caller connections of an instance, and the services that they share.

    Parameters
    ----------
    instance : InstanceId
        Name of this instance.
    data_centre : DataCentre
        Its data centre.
    store : SettingsStore
        Keys and routes.
    runner : StatementRunner
        Runs the requests.
    transactions : TransactionRunner
        Runs the transactions.
    rates : RateLimiter
        Limits the request rate of each workspace.
    executor : Executor
        Runs one task for each connection.
    max_connections : int
        Greatest number of connections at a time; further ones are refused.
    clock : Clock
        Source of time.
    timeline : Timeline
        Records events.
    metrics : Metrics
        Records counters and timings.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        data_centre: DataCentre,
        store: SettingsStore,
        runner: StatementRunner,
        transactions: TransactionRunner,
        rates: RateLimiter,
        executor: Executor,
        max_connections: int,
        clock: Clock,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.store = store
        self.runner = runner
        self.transactions = transactions
        self.rates = rates
        self.clock = clock
        self.draining = threading.Event()
        self._executor = executor
        self._max_connections = max_connections
        self._timeline = timeline
        self._metrics = metrics
        self._changed = threading.Condition()
        self._count = 0
        self._active: set[CallerConnection] = set()

    @property
    def count(self) -> int:
        """Number of connections that are being served."""
        return self._count

    def accept(self, pipe: CallerPipe) -> None:
        """Serve a new connection in a task of its own, or refuse it."""
        refusal = self._refusal()
        if refusal is not None:
            pipe.send(AnswerFrame(failure=to_failure(refusal)), 0)
            pipe.close()
            return
        with self._changed:
            self._count += 1
        self._executor.submit(self._serve, pipe)

    def _refusal(self) -> QuetzalrudderError | None:
        if self.draining.is_set():
            return Draining("the instance is shutting down", retry_after_ms=1)
        if self._count >= self._max_connections:
            return Overloaded("too many caller connections", retry_after_ms=RETRY_AFTER_MS)
        return None

    def _serve(self, pipe: CallerPipe) -> None:
        self._timeline.record(EventKind.CALLER_CONNECTED)
        conn = CallerConnection(pipe, self)
        with self._changed:
            self._active.add(conn)
        if self.draining.is_set():
            conn.send_move_on()
        try:
            conn.serve()
        finally:
            self._timeline.record(EventKind.CALLER_LEFT)
            with self._changed:
                self._active.discard(conn)
                self._count -= 1
                self._changed.notify_all()

    def watch_keys(self, stopping: threading.Event) -> None:
        """Close connections with withdrawn keys, and wake idle ones while draining.

        Runs in one task until ``stopping`` is set.
        """
        checked_tree = None
        while not stopping.wait(KEY_SWEEP_INTERVAL_S):
            tree = self.store.tree
            if tree is checked_tree and not self.draining.is_set():
                continue
            with self._changed:
                active = list(self._active)
            for conn in active:
                if tree is not checked_tree:
                    conn.close_if_withdrawn()
                if self.draining.is_set():
                    conn.wake()
            checked_tree = tree

    def drain(self) -> None:
        """Refuse new connections, and direct every caller to another instance."""
        self.draining.set()
        with self._changed:
            active = list(self._active)
        for conn in active:
            conn.send_move_on()

    def running_requests(self) -> list[str]:
        """Return the ids of the requests in progress."""
        with self._changed:
            active = list(self._active)
        return sorted(filter(None, (conn.running_request for conn in active)))

    def wake(self) -> None:
        """Make :meth:`wait_until_empty` check its condition again."""
        with self._changed:
            self._changed.notify_all()

    def wait_until_empty(self, timeout_s: float, give_up: threading.Event | None = None) -> int:
        """Wait until all connections have ended, ``give_up`` is set or the timeout passes.

        Returns
        -------
        int
            Number of connections left.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._count == 0 or (give_up is not None and give_up.is_set()), timeout_s
            )
            return self._count

    def record_request(
        self,
        caller: CallerIdentity,
        request_id: str,
        result: Result[Answer, QuetzalrudderError],
        elapsed_ms: float,
    ) -> None:
        """Log one finished request, count it and record it in the timeline."""
        log = request_logger(__name__, request_id=request_id, workspace=caller.workspace)
        event = {"request_id": request_id, "workspace": caller.workspace}
        self._metrics.timing_ms("request", elapsed_ms)
        match result:
            case Ok(answer):
                log.debug("request done")
                self._metrics.count("request.done")
                self._timeline.record(EventKind.REQUEST_DONE, target=answer.target, **event)
            case Err(exc):
                log.info("request failed: %s", exc.code.name)
                self._metrics.count(f"request.failed.{exc.code.name.lower()}")
                self._timeline.record(EventKind.REQUEST_FAILED, detail=exc.code.name, **event)
