"""A fleet in memory: target stand-ins and the product's failover logic in virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from quetzalrudder.adapters import TargetInfo
from quetzalrudder.failover import CHECK_INTERVAL_S, FailoverHandlers, FailoverMonitor
from quetzalrudder.groups import GroupTable
from quetzalrudder.links import LINK_LOST_TIMEOUT_S, PROBE_INTERVAL_S
from quetzalrudder.membership import Membership
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.promotion import Promoter
from quetzalrudder.schema.common import Position
from quetzalrudder.schema.peers import PrimaryChanged, PrimaryQuestion, PrimaryReport
from quetzalrudder.schema.platform import InstanceEntry
from quetzalrudder.schema.target import (
    Confirm,
    Probe,
    Role,
    TargetAnswer,
)
from quetzalrudder.timeline import Timeline
from quetzalrudder.utils import Address
from standins.memory import MemoryGroup, MemoryTarget, drop_received_entries
from standins.memory_platform import MemoryPlatform, MemoryStore
from standins.replication import append_batch, first_batch, make_replicate_request
from standins.target import TargetState
from standins.virtual import VirtualTime

__all__ = ["NetworkConditions", "MemoryFleet", "MemoryInstance"]

LOCAL_DELAY_S = 0.0001
CONFIRM_TIMEOUT_S = 0.01


@dataclass(frozen=True)
class NetworkConditions:
    """Delay and loss of messages, and lag of replication."""

    one_way_s: float = 0.0005
    loss: float = 0.0
    replication_lag_s: float = 0.0
    # Time between two polls of the primary's log by its followers.
    replication_poll_s: float = 0.002
    # Upper bound of a random delay added to each message, so that messages are reordered.
    max_extra_s: float = 0.0


class MemoryFleet:
    """Instances and one database group in virtual time, with faults.

    Parameters
    ----------
    instances : dict of str to str
        The data centre of each instance.
    targets : dict of str to str
        The data centre of each target; the first one is the primary.
    conditions : NetworkConditions
        Delay, loss and replication lag.
    seed : int
        Seed of every random choice.
    """

    def __init__(
        self,
        instances: dict[str, str],
        targets: dict[str, str],
        conditions: NetworkConditions,
        seed: int,
    ) -> None:
        # The order in which instances propose a promotion depends on the group's name.
        self.group_id = GroupId(f"group-{seed}")
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self.conditions = conditions
        self.group = MemoryGroup(targets)
        self.platform = MemoryStore(self.time)
        self.dead: set[str] = set()
        self._cut: set[frozenset[str]] = set()
        self._delayed: list[Callable[[], None]] = []
        self.instances = {name: MemoryInstance(self, name, dc) for name, dc in instances.items()}
        entries = [
            InstanceEntry(instance=name, data_centre=dc, control_address="127.0.0.1:1")
            for name, dc in instances.items()
        ]
        for instance in self.instances.values():
            instance.membership.set_platform_list(entries)
            instance.start()
        self._replicate_all()

    def __enter__(self) -> "MemoryFleet":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.time.close()

    def kill(self, name: str) -> None:
        """Kill a target or an instance; a target can be restarted."""
        self.dead.add(name)
        self.time.pause(name)

    def restart(self, name: str) -> None:
        """Restart a target without its log and its term."""
        self.group.targets[name].restart()
        self.dead.discard(name)
        self.time.resume(name)

    def isolate(self, data_centre: str) -> None:
        """Cut a data centre off from all others."""
        data_centres = {target.cfg.data_centre for target in self.group.targets.values()}
        data_centres |= {instance.data_centre for instance in self.instances.values()}
        self._cut |= {frozenset((data_centre, other)) for other in data_centres - {data_centre}}

    def heal(self) -> None:
        """Reconnect all data centres and deliver the messages that were held back."""
        self._cut.clear()
        delayed, self._delayed = self._delayed, []
        for send in delayed:
            send()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two data centres are cut off from each other."""
        return frozenset((one, other)) in self._cut

    def send(self, route: tuple[str, str], owner: str, deliver: Callable[[], None]) -> None:
        """Send a message to a process, along a pair of source and destination data centre.

        While the two are cut off from each other, a message that arrives is held back.
        """
        if self.rng.random() < self.conditions.loss:
            return
        delay_s = LOCAL_DELAY_S if route[0] == route[1] else self.conditions.one_way_s
        extra_s = self.rng.uniform(0, self.conditions.max_extra_s)
        at = self.time.now + delay_s * self.rng.uniform(1, 1.2) + extra_s

        def arrive() -> None:
            if self.is_cut(*route):
                self._delayed.append(lambda: self.time.call_at(self.time.now, owner, deliver))
            else:
                deliver()

        self.time.call_at(at, owner, arrive)

    def _replicate_all(self) -> None:
        for name in self.group.targets:
            self._replicate(name)
        self.time.call_at(
            self.time.now + self.conditions.replication_poll_s, "network", self._replicate_all
        )

    def _is_connected(self, one: TargetState, other: TargetState) -> bool:
        paused = [s for s in (one, other) if self.time.is_paused(s.cfg.target)]
        return not paused and not self.is_cut(one.cfg.data_centre, other.cfg.data_centre)

    def _replicate(self, name: str) -> None:
        follower = self.group.targets[name].state
        if follower.follower is None:
            return
        primary = self.group.targets[follower.follower.primary].state
        term = follower.follower.term
        if not self._is_connected(follower, primary) or not primary.accepts_writes(term):
            return
        if follower.database.received == primary.database.received and not follower.rejoining:
            return
        batch = first_batch(primary, make_replicate_request(follower, term))
        delay_s = self.conditions.one_way_s + self.conditions.replication_lag_s

        def receive() -> None:
            # The lag is on the primary's side: entries not yet sent are lost with the primary.
            if not self._is_connected(follower, primary):
                return
            drop_received_entries(follower, batch)
            if append_batch(follower, term, batch):
                follower.database.apply_all()

        self.time.call_at(self.time.now + delay_s, name, receive)

    def primaries(self) -> dict[str, int]:
        """Return the term of each target whose role is primary."""
        states = {name: target.state for name, target in self.group.targets.items()}
        return {n: state.term for n, state in states.items() if state.role is Role.PRIMARY}


class MemoryInstance:
    """The failover logic of one instance."""

    def __init__(self, fleet: MemoryFleet, name: str, data_centre: str) -> None:
        self.name = InstanceId(name)
        self.data_centre = DataCentre(data_centre)
        self._fleet = fleet
        time = fleet.time
        rng = random.Random(fleet.rng.getrandbits(64))
        self._phase_s = rng.uniform(0, PROBE_INTERVAL_S)
        self.groups = GroupTable(time)
        self.membership = Membership(self.name, self.data_centre)
        self.timeline = Timeline(self.name, time)
        self.group = fleet.group_id
        self.infos = {
            target: TargetInfo(
                TargetId(target),
                fleet.group_id,
                DataCentre(memory_target.cfg.data_centre),
                Address("127.0.0.1", 1),
            )
            for target, memory_target in fleet.group.targets.items()
        }
        self.groups.set_targets([(info, False) for info in self.infos.values()])
        self.links = MemoryLinks(fleet, self)
        self.promoter = Promoter(
            self.name,
            self.data_centre,
            self.groups,
            self.membership,
            self.links,
            rng,
            self.timeline,
        )
        self.failover = FailoverMonitor(
            self.name,
            self.groups,
            self.membership,
            self.links,
            self.promoter,
            MemoryPlatform(fleet.platform, data_centre),
            time,
            rng,
            lambda task: time.spawn(self.name, task),
        )
        handlers = FailoverHandlers(self.groups, self.links, time)
        self.handlers: dict[type, Callable[[InstanceId, Any], PrimaryReport]] = {
            PrimaryQuestion: handlers.on_primary_question,
            PrimaryChanged: handlers.on_primary_changed,
        }

    def start(self) -> None:
        """Start probing the targets and checking the group."""
        time = self._fleet.time
        time.call_at(time.now + self._phase_s, self.name, self._probe)
        time.call_at(time.now + self._phase_s, self.name, self._check_groups)

    def _probe(self) -> None:
        self.links.probe_all()
        time = self._fleet.time
        time.call_at(time.now + PROBE_INTERVAL_S, self.name, self._probe)

    def _check_groups(self) -> None:
        self.failover.check_groups()
        time = self._fleet.time
        time.call_at(time.now + CHECK_INTERVAL_S, self.name, self._check_groups)

    def write(self, request_id: str, timeout_s: float, *, confirm: bool = True) -> Position | None:
        """Run a write and confirm it by a majority.

        Returns the position of the write, or None if it was not acknowledged in time.
        """
        primary = self.groups.primary(self._fleet.group_id)
        if primary is None or not primary.reachable:
            return None
        deadline = self._fleet.time.now + timeout_s
        answer = self.links.write(primary.info, primary.state.term, request_id, timeout_s)
        if answer is None or answer.position is None:
            return None
        if not confirm:
            return answer.position
        confirmed = {primary.info.target}
        others = [info for target, info in self.infos.items() if target not in confirmed]
        req = Confirm(position=answer.position)
        while self._fleet.time.now < deadline:
            answers = self.links.send_to_targets(
                others,
                req,
                CONFIRM_TIMEOUT_S,
                lambda received: any(map(_confirms, received.values())),
            )
            confirmed |= {target for target, answer in answers.items() if _confirms(answer)}
            if len(confirmed) > len(self.infos) // 2:
                return answer.position
            self._fleet.time.sleep(self._fleet.conditions.replication_poll_s)
        return None


def _confirms(answer: TargetAnswer) -> bool:
    return answer.failure is None and answer.confirmed


@dataclass
class MemoryLinks:
    """An instance's links to targets and peers."""

    fleet: MemoryFleet
    instance: MemoryInstance
    # Clock reading of each target's last answer, in seconds.
    last_answer_at: dict[str, float] = field(default_factory=dict)

    def send_to_targets(
        self,
        targets: list[TargetInfo],
        req: Any,
        timeout_s: float,
        is_enough: Callable[[dict[TargetId, TargetAnswer]], bool],
    ) -> dict[TargetId, TargetAnswer]:
        """Send a request to targets in parallel and return the answers that arrive in time."""
        answers: dict[TargetId, TargetAnswer] = {}
        event = self.fleet.time.event()

        def on_answer(info: TargetInfo, answer: TargetAnswer) -> None:
            answers[info.target] = answer
            if len(answers) == len(targets) or is_enough(answers):
                event.set()

        for info in targets:
            self._send_request(
                info, lambda t: t.control(req), lambda a, info=info: on_answer(info, a)
            )
        self.fleet.time.wait_for(event, timeout_s)
        return dict(answers)

    def _send_request(
        self,
        info: TargetInfo,
        run: Callable[[MemoryTarget], TargetAnswer],
        on_answer: Callable[[TargetAnswer], None],
    ) -> None:
        requested_at = self.fleet.time.now
        local_data_centre, remote_data_centre = self.instance.data_centre, info.data_centre

        def receive(answer: TargetAnswer) -> None:
            self.last_answer_at[info.target] = self.fleet.time.now
            if answer.state is not None:
                self.instance.groups.observe(info, answer.state, requested_at)
            on_answer(answer)

        def deliver() -> None:
            answer = run(self.fleet.group.targets[info.target])
            self.fleet.send(
                (remote_data_centre, local_data_centre), self.instance.name, lambda: receive(answer)
            )

        self.fleet.send((local_data_centre, remote_data_centre), info.target, deliver)

    def write(
        self, info: TargetInfo, term: int, request_id: str, timeout_s: float
    ) -> TargetAnswer | None:
        """Run a write at a target.

        Returns an empty answer if the target refused the write, and None if no answer
        arrives in time.
        """
        event = self.fleet.time.event()
        answers: list[TargetAnswer] = []

        def run(target: MemoryTarget) -> TargetAnswer:
            return target.write(term, request_id).unwrap_or(TargetAnswer())

        def on_answer(answer: TargetAnswer) -> None:
            answers.append(answer)
            event.set()

        self._send_request(info, run, on_answer)
        self.fleet.time.wait_for(event, timeout_s)
        return answers[0] if answers else None

    def send_to_peers(
        self,
        peers: list[InstanceId],
        message: Any,
        timeout_s: float,
        is_enough: Callable[[dict[InstanceId, Any]], bool],
    ) -> dict[InstanceId, Any]:
        """Send a message to peers in parallel and return the answers that arrive in time."""
        answers: dict[InstanceId, Any] = {}
        event = self.fleet.time.event()

        def on_answer(peer: InstanceId, answer: Any) -> None:
            answers[peer] = answer
            if len(answers) == len(peers) or is_enough(answers):
                event.set()

        for peer in peers:
            self._send_to_peer(self.fleet.instances[peer], message, on_answer)
        self.fleet.time.wait_for(event, timeout_s)
        return dict(answers)

    def _send_to_peer(
        self, peer: MemoryInstance, message: Any, on_answer: Callable[[InstanceId, Any], None]
    ) -> None:
        local_data_centre, remote_data_centre = self.instance.data_centre, peer.data_centre

        def handle() -> None:
            answer = peer.handlers[type(message)](self.instance.name, message)
            self.fleet.send(
                (remote_data_centre, local_data_centre),
                self.instance.name,
                lambda: on_answer(peer.name, answer),
            )

        def deliver() -> None:
            self.fleet.time.spawn(peer.name, handle)

        self.fleet.send((local_data_centre, remote_data_centre), peer.name, deliver)

    def probe_now(self, group: GroupId) -> None:
        """Probe the targets now."""
        self.probe_all()

    def keeps_links(self, group: GroupId) -> bool:
        """Return whether this instance keeps links to the group's targets."""
        return True

    def probe_all(self) -> None:
        """Probe every target, and mark those that have stopped answering as unreachable."""
        now = self.fleet.time.now
        for target, info in self.instance.infos.items():
            silence_s = now - self.last_answer_at.setdefault(target, now)
            if target in self.fleet.dead or silence_s > LINK_LOST_TIMEOUT_S:
                self.instance.groups.mark_unreachable(info.target, info.group)
            self._send_request(info, lambda t: t.control(Probe()), lambda answer: None)
