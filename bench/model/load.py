"""Modelled callers: operations of several kinds, workspaces and data centres, with retries."""

import random
import threading
from collections.abc import Iterator
from dataclasses import dataclass

from bench.model.clock import FOREVER_S
from bench.model.fleet import ModelFleet, ModelInstance
from bench.model.groups import work_item
from bench.model.results import Ending, Operation, Results
from quetzalrudder.exceptions import OutcomeUnknown, QuetzalrudderError, StatementFailed
from quetzalrudder.gateway import Catalog, Consistency, Route, Workspace
from quetzalrudder.gateway import GroupSettings as CatalogGroup
from quetzalrudder.gateway.statements import Begin, Commit, Read, Statement, Write
from quetzalrudder.models import DataCentre, GroupId, RequestId, WorkspaceId
from quetzalrudder.utils import MS_PER_S

__all__ = ["Kind", "Load", "LoadSettings", "make_catalog"]

CALLER_OWNER = "callers"
CONNECT_TIMEOUT_S = 1.0
GREETING_TIMEOUT_S = 2.0
REMOVAL_DELAY_S = 2.0


@dataclass(frozen=True)
class Kind:
    """One kind of operation."""

    name: str
    consistency: Consistency
    per_s: float
    work_ms: float
    objective_ms: int
    deadline_ms: int
    timeout_ms: int
    max_age_ms: int = 0
    priority: int = 1
    # Fractions of operations that write, and that are transactions.
    writes: float = 0.0
    transactions: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.1
    retries: int = 2


@dataclass(frozen=True)
class LoadSettings:
    """Callers of all kinds."""

    kinds: tuple[Kind, ...]
    workspaces: int = 8
    # Rate of each workspace as a multiple of what it sends.
    headroom: float = 1.6
    # Callers of one data centre, each of which stays at its instance while that answers.
    callers: int = 19
    # Pause before a retry: this, doubled with each try, or what the refusal says if longer.
    retry_ms: float = 50.0
    follows_retry_after: bool = True
    statements_in_transaction: int = 3
    pause_ms: float = 5.0
    # Operations a second of one workspace beside its own, through all instances.
    flood_per_s: float = 0.0


def workspace_shares(count: int) -> list[float]:
    """Return each workspace's share of the operations: a few are large.

    Examples
    --------
    >>> [round(share, 2) for share in workspace_shares(3)]
    [0.55, 0.27, 0.18]
    """
    weights = [1 / (rank + 1) for rank in range(count)]
    return [weight / sum(weights) for weight in weights]


def make_catalog(cfg: LoadSettings, groups: int, connections: int) -> Catalog:
    """Return the configuration that serves a load: a route for each kind and group."""
    total_per_s = sum(kind.per_s for kind in cfg.kinds)
    names = [WorkspaceId(f"w{index}") for index in range(cfg.workspaces)]
    shares = workspace_shares(cfg.workspaces)
    return Catalog(
        version=1,
        routes={
            (name := f"{kind.name}-{index}"): Route(
                name,
                GroupId(f"g{index}"),
                kind.consistency,
                kind.max_age_ms,
                kind.timeout_ms,
                kind.objective_ms,
                kind.priority,
            )
            for kind in cfg.kinds
            for index in range(groups)
        },
        groups={
            group: CatalogGroup(group, connections)
            for group in (GroupId(f"g{index}") for index in range(groups))
        },
        workspaces={
            name: Workspace(
                name, total_per_s * share * cfg.headroom, total_per_s * share * cfg.headroom
            )
            for name, share in zip(names, shares, strict=True)
        },
        workspace_by_key={f"key-{name}": name for name in names},
    )


class _Call:
    """A statement of a caller in progress at an instance."""

    def __init__(self) -> None:
        self.ended = threading.Event()
        self.error: QuetzalrudderError | None = None
        self.lost = False

    def end_lost(self) -> None:
        """End the call because its instance is gone."""
        if not self.ended.is_set():
            self.lost = True
            self.ended.set()


@dataclass(frozen=True)
class _Outcome:
    """How one attempt ended."""

    served: bool = False
    # False if the attempt may have taken effect.
    may_retry: bool = True
    error: str = ""
    retry_after_ms: int = 0


@dataclass(frozen=True)
class _Plan:
    """What a caller is about to do."""

    kind: Kind
    workspace: str
    data_centre: DataCentre
    caller: int
    group: int
    transaction: bool
    writes: bool


class Load:
    """Sends operations to a fleet and collects what their callers get.

    Parameters
    ----------
    fleet : ModelFleet
        The fleet.
    cfg : LoadSettings
        The kinds of operations and how callers behave.
    seed : int
        Seed of arrivals and choices.
    """

    def __init__(self, fleet: ModelFleet, cfg: LoadSettings, seed: int) -> None:
        self._fleet = fleet
        self._cfg = cfg
        self._rng = random.Random(seed)
        self._operations: list[Operation] = []
        self._started_at = 0.0
        # Instance that each caller stays at.
        self._homes: dict[tuple[DataCentre, int], str] = {}
        self._numbers: Iterator[int] = iter(range(1, 1_000_000_000))

    def run(self, seconds: float, warm_up_s: float = 1.5) -> Results:
        """Start the load, run it for a time, and return all operations that began in it."""
        self._fleet.time.run(warm_up_s)
        self._started_at = self._fleet.time.now
        for kind in self._cfg.kinds:
            self._schedule_arrivals(kind, kind.per_s, seconds)
        if self._cfg.flood_per_s:
            self._schedule_arrivals(self._cfg.kinds[0], self._cfg.flood_per_s, seconds, flood=True)
        longest_s = max(kind.deadline_ms for kind in self._cfg.kinds) / MS_PER_S
        self._fleet.time.run(seconds + longest_s)
        return Results(self._operations)

    def at(self, seconds: float) -> float:
        """Return the clock reading at a time of the load."""
        return self._started_at + seconds

    def _schedule_arrivals(
        self, kind: Kind, per_s: float, seconds: float, *, flood: bool = False
    ) -> None:
        at_s = 0.0
        while per_s > 0 and (at_s := at_s + self._rng.expovariate(per_s)) < seconds:
            plan = self._draw(kind, flood=flood)
            self._fleet.time.call_at(
                self.at(at_s),
                CALLER_OWNER,
                lambda plan=plan: self._fleet.time.spawn(CALLER_OWNER, lambda: self._operate(plan)),
            )

    def _draw(self, kind: Kind, *, flood: bool) -> _Plan:
        rng, cfg = self._rng, self._cfg
        shares = workspace_shares(cfg.workspaces)
        names = [f"w{index}" for index in range(cfg.workspaces)]
        transaction = rng.random() < kind.transactions
        return _Plan(
            kind=kind,
            workspace=names[-1] if flood else rng.choices(names, shares)[0],
            data_centre=DataCentre(rng.choice(list(self._fleet.cfg.data_centres))),
            caller=rng.randrange(cfg.callers),
            group=rng.randrange(self._fleet.cfg.groups.count),
            transaction=transaction,
            writes=rng.random() < kind.writes,
        )

    # One operation.

    def _operate(self, plan: _Plan) -> None:
        clock, kind = self._fleet.clock, plan.kind
        started_at = clock.monotonic()
        deadline_at = started_at + kind.deadline_ms / MS_PER_S
        tries = 0
        while True:
            tries += 1
            outcome = self._attempt(plan, deadline_at)
            if outcome.served or not outcome.may_retry or tries > kind.retries:
                break
            pause_ms = self._cfg.retry_ms * 2 ** (tries - 1) * self._rng.uniform(0.5, 1.5)
            if self._cfg.follows_retry_after:
                pause_ms = max(pause_ms, outcome.retry_after_ms)
            if clock.monotonic() + pause_ms / MS_PER_S >= deadline_at:
                break
            clock.sleep(pause_ms / MS_PER_S)
        self._record(plan, started_at, tries, outcome)

    def _record(self, plan: _Plan, started_at: float, tries: int, outcome: _Outcome) -> None:
        kind = plan.kind
        took_s = self._fleet.clock.monotonic() - started_at
        pauses_s = 0.0
        if plan.transaction:
            pauses_s = self._cfg.statements_in_transaction * self._cfg.pause_ms / MS_PER_S
        if outcome.served:
            in_time = took_s - pauses_s <= kind.objective_ms / MS_PER_S
            ending = Ending.IN_TIME if in_time else Ending.LATE
        else:
            ending = Ending.REFUSED if outcome.retry_after_ms else Ending.FAILED
        self._operations.append(
            Operation(
                kind.name,
                plan.workspace,
                plan.data_centre,
                started_at - self._started_at,
                took_s,
                ending,
                tries,
                outcome.error,
                kind.worth,
                kind.late_worth,
            )
        )

    def _choose_instance(self, plan: _Plan) -> ModelInstance:
        """Return the caller's instance, or another one if that has been away for a while."""
        home = (plan.data_centre, plan.caller)
        instances = self._fleet.instances
        local = [name for name, found in instances.items() if found.data_centre == home[0]]
        serving = [name for name in local if instances[name].serving.is_set()]
        name = self._homes.get(home)
        if name is None or (name not in serving and len(serving) * 2 >= len(local)):
            name = self._rng.choice(serving or local)
            self._homes[home] = name
        return instances[name]

    def _attempt(self, plan: _Plan, deadline_at: float) -> _Outcome:
        clock, cfg = self._fleet.clock, self._fleet.cfg
        instance = self._choose_instance(plan)
        clock.sleep(2 * cfg.caller_ms / MS_PER_S)
        if not instance.listening:
            self._homes.pop((plan.data_centre, plan.caller), None)
            return _Outcome(error="no connection")
        greeting_s = min(GREETING_TIMEOUT_S, deadline_at - clock.monotonic())
        if not clock.wait(instance.serving, max(0.0, greeting_s)):
            return _Outcome(error="no greeting")
        session = instance.gateway.open_session(
            f"{plan.kind.name}-{plan.group}", f"key-{plan.workspace}"
        )
        call, outcome = _Call(), _Outcome()
        for statement in self._statements(plan):
            call = _Call()
            outcome = self._run_statement(instance, session, statement, call, plan, deadline_at)
            if not outcome.served:
                break
            if plan.transaction:
                clock.sleep(self._cfg.pause_ms / MS_PER_S)

        def close() -> None:
            # The instance notices that the caller has left when its statement ends.
            clock.wait(call.ended, FOREVER_S)
            session.close()

        if instance.up:
            self._fleet.time.spawn(instance.owner, close)
        return outcome

    def _statements(self, plan: _Plan) -> Iterator[Statement]:
        kind = plan.kind
        work_s = min(5 * kind.work_ms, self._rng.expovariate(1 / kind.work_ms)) / MS_PER_S
        if not plan.transaction:
            item = work_item(work_s, "item")
            yield Write(item, "data") if plan.writes else Read(item)
            return
        count = self._cfg.statements_in_transaction
        yield Begin(read_only=not plan.writes)
        for index in range(count):
            item = work_item(work_s / count, "item")
            yield Write(item, "data") if plan.writes and index == 0 else Read(item)
        yield Commit()

    def _run_statement(
        self,
        instance: ModelInstance,
        session: object,
        statement: Statement,
        call: _Call,
        plan: _Plan,
        deadline_at: float,
    ) -> _Outcome:
        """Run a statement at an instance; the caller leaves at its deadline."""
        clock = self._fleet.clock
        instance.calls.add(call)
        request_id = RequestId(f"r{next(self._numbers)}")

        def execute() -> None:
            answer = session.execute(request_id, statement)
            call.error = answer.error
            call.ended.set()

        self._fleet.time.spawn(instance.owner, execute)
        ended = clock.wait(call.ended, max(0.0, deadline_at - clock.monotonic()))
        instance.calls.discard(call)
        clock.sleep(2 * self._fleet.cfg.caller_ms / MS_PER_S)
        # A write or a commit without an answer may have taken effect.
        unsure = isinstance(statement, Write | Commit) and plan.writes
        if not ended:
            return _Outcome(may_retry=False, error="deadline")
        if call.lost:
            return _Outcome(may_retry=not unsure, error="connection lost")
        if call.error is None:
            return _Outcome(served=True)
        may_retry = not isinstance(call.error, OutcomeUnknown) and (
            not isinstance(call.error, StatementFailed) or not plan.writes
        )
        return _Outcome(
            may_retry=may_retry,
            error=call.error.log_name,
            retry_after_ms=call.error.retry_after_ms,
        )
