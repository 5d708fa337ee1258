"""Confirm, fence and replication of the target stand-in, with messages in random order.

A weighted random walk reaches promotions far more often than a search that draws all steps
with equal probability. The walks over naive versions show that it finds lost writes.
"""

import random
from dataclasses import dataclass, field

import pytest

from quetzalrudder.schema.common import Position
from quetzalrudder.schema.standin import LogBatch, ReplicateRequest
from quetzalrudder.schema.target import Confirm, Fence, Follow, Probe, Promote, Role, State
from quetzalrudder.tokens import position_key
from standins.memory import MemoryGroup
from standins.replication import append_batch, first_batch, make_replicate_request

NAMES = ("t-a", "t-b", "t-c")
MAJORITY = 2
ADDRESS = "127.0.0.1:1"
WALKS = 300
STEPS = 600


@dataclass
class Write:
    """A write that a primary accepted, and the targets that have confirmed it."""

    request_id: str
    position: Position
    confirmed: set[str]


@dataclass
class Proposal:
    """Progress of a proposer: the states from its two rounds of fences, and its primary."""

    term: int
    proposer: str
    first: dict[str, State] = field(default_factory=dict)
    second: dict[str, State] = field(default_factory=dict)
    primary: str = ""


@dataclass
class Readmission:
    """Progress of an instance that readmits a restarted member as a follower."""

    member: str
    incarnation: str
    term: int
    in_term: set[str] = field(default_factory=set)


@dataclass
class Transfer:
    """A replication request of a follower, and the batch of the log that answers it."""

    follower: str
    term: int
    primary: str
    req: ReplicateRequest
    incarnation: str
    batch: LogBatch | None = None


def is_same_incarnation(first, second):
    return first.incarnation == second.incarnation


class GroupWalk:
    """A random walk over one group, in which every message is a separate step."""

    # Members that must confirm a write or be fenced; naive versions require fewer.
    confirms_needed = MAJORITY
    fences_needed = MAJORITY

    def __init__(self, rng):
        self.rng = rng
        self.group = MemoryGroup(dict(zip(NAMES, "abc", strict=True)))
        self.writes = []
        self.acknowledged = []
        self.proposals = []
        self.readmissions = []
        self.transfers = []
        self.primary_of = {1: "t-a"}

    def run(self):
        steps = {
            self.write: 6,
            self.confirm: 16,
            self.request_log: 10,
            self.serve_log: 12,
            self.deliver_log: 12,
            self.propose: 0.7,
            self.fence: 12,
            self.promote: 3,
            self.follow: 5,
            self.restart: 0.3,
            self.begin_readmission: 2,
            self.probe_for_readmission: 6,
            self.readmit: 3,
        }
        for step in self.rng.choices(list(steps), list(steps.values()), k=STEPS):
            step()

    def pick(self, items):
        """Pick an item at random, mostly one of the newest."""
        return items[-1 - min(int(self.rng.expovariate(1)), len(items) - 1)]

    def target(self, name):
        return self.group.targets[name]

    def check_primary(self, name, term):
        """Assert that a primary holds every write acknowledged in an earlier term."""
        held = self.target(name).state.database
        for position in self.acknowledged:
            assert position.term >= term or held.contains(position), (name, term, position)

    def write(self):
        """Send a write to a target as to the primary of the term that the target reports."""
        name = self.rng.choice(NAMES)
        state = self.target(name).state
        answer = self.target(name).write(state.term, f"r{len(self.writes)}")
        if answer.is_ok():
            position = answer.ok_value.position
            self.writes.append(Write(f"r{len(self.writes)}", position, {name}))
            self.acknowledge_confirmed(self.writes[-1])

    def confirm(self):
        name = self.rng.choice(NAMES)
        if not self.writes:
            return
        write = self.pick(self.writes)
        if self.target(name).control(Confirm(position=write.position)).confirmed:
            write.confirmed.add(name)
            self.acknowledge_confirmed(write)

    def acknowledge_confirmed(self, write):
        if len(write.confirmed) < self.confirms_needed or write.position in self.acknowledged:
            return
        self.acknowledged.append(write.position)
        for term, name in self.primary_of.items():
            state = self.target(name).state
            if term > write.position.term and state.term == term and state.role is Role.PRIMARY:
                self.check_primary(name, term)

    def request_log(self):
        name = self.rng.choice(NAMES)
        state = self.target(name).state
        if state.follower is None:
            return
        term = state.follower.term
        req = make_replicate_request(state, term)
        transfer = Transfer(name, term, state.follower.primary, req, state.incarnation)
        self.transfers.append(transfer)

    def serve_log(self):
        waiting = [transfer for transfer in self.transfers if transfer.batch is None]
        if not waiting:
            return
        transfer = self.pick(waiting)
        primary = self.target(transfer.primary).state
        if primary.accepts_writes(transfer.term):
            transfer.batch = first_batch(primary, transfer.req)

    def deliver_log(self):
        """Deliver a batch to its follower, and drop all other transfers of that follower.

        A follower has one stream, so it accepts nothing from an earlier one.
        """
        served = [transfer for transfer in self.transfers if transfer.batch is not None]
        if not served:
            return
        transfer = self.pick(served)
        self.transfers = [t for t in self.transfers if t.follower != transfer.follower]
        state = self.target(transfer.follower).state
        if state.incarnation == transfer.incarnation and state.follower is not None:
            append_batch(state, transfer.term, transfer.batch)
            state.database.apply_all()

    def propose(self):
        name = self.rng.choice(NAMES)
        term = self.target(name).state.term + 1
        self.proposals.append(Proposal(term, f"p{len(self.proposals)}"))

    def fence(self):
        name = self.rng.choice(NAMES)
        if not self.proposals:
            return
        proposal = self.pick(self.proposals)
        answer = self.target(name).control(Fence(term=proposal.term, proposer=proposal.proposer))
        if answer.failure is not None or answer.state.rejoining:
            return
        if len(proposal.first) < self.fences_needed:
            proposal.first[name] = answer.state
        elif name in proposal.first and is_same_incarnation(proposal.first[name], answer.state):
            proposal.second[name] = answer.state

    def promote(self):
        if not self.proposals:
            return
        proposal = self.pick(self.proposals)
        fenced = proposal.second
        if proposal.primary or len(fenced) < self.fences_needed:
            return
        winner = max(fenced, key=lambda name: position_key(fenced[name].received))
        proposal.primary = winner
        req = Promote(term=proposal.term, proposer=proposal.proposer)
        if self.target(winner).control(req).failure is None:
            assert proposal.term not in self.primary_of
            self.primary_of[proposal.term] = winner
            self.check_primary(winner, proposal.term)

    def follow(self):
        name = self.rng.choice(NAMES)
        term = self.pick(sorted(self.primary_of))
        primary = self.primary_of[term]
        if primary != name and not self.target(name).state.rejoining:
            self.target(name).control(Follow(term=term, primary=primary, address=ADDRESS))

    def restart(self):
        name = self.rng.choice(NAMES)
        if not any(target.state.rejoining for target in self.group.targets.values()):
            self.target(name).restart()

    def begin_readmission(self):
        name = self.rng.choice(NAMES)
        state = self.target(name).control(Probe()).state
        if state.rejoining:
            term = self.pick(sorted(self.primary_of))
            self.readmissions.append(Readmission(name, state.incarnation, term))

    def probe_for_readmission(self):
        name = self.rng.choice(NAMES)
        if not self.readmissions:
            return
        readmission = self.pick(self.readmissions)
        state = self.target(name).control(Probe()).state
        serves = state.role in (Role.PRIMARY, Role.REPLICA) and not state.rejoining
        if name != readmission.member and serves and state.term == readmission.term:
            readmission.in_term.add(name)

    def readmit(self):
        if not self.readmissions:
            return
        readmission = self.pick(self.readmissions)
        if len(readmission.in_term) < MAJORITY:
            return
        req = Follow(
            term=readmission.term,
            primary=self.primary_of[readmission.term],
            address=ADDRESS,
            incarnation=readmission.incarnation,
        )
        self.target(readmission.member).control(req)


class PrimaryOnlyWalk(GroupWalk):
    """Acknowledges writes that only the primary has confirmed."""

    confirms_needed = 1


class SingleFenceWalk(GroupWalk):
    """Promotes as soon as one target is fenced."""

    fences_needed = 1


def run_walks(walk_type):
    """Run all walks, and return the numbers of promotions and acknowledged writes."""
    promotions = acknowledged = 0
    for seed in range(WALKS):
        walk = walk_type(random.Random(seed))
        walk.run()
        promotions += len(walk.primary_of) - 1
        acknowledged += len(walk.acknowledged)
    return promotions, acknowledged


def test_no_order_of_messages_loses_an_acknowledged_write():
    promotions, acknowledged = run_walks(GroupWalk)
    assert promotions > WALKS
    assert acknowledged > WALKS


@pytest.mark.parametrize("walk_type", [PrimaryOnlyWalk, SingleFenceWalk])
def test_walks_find_the_writes_that_a_naive_version_loses(walk_type):
    with pytest.raises(AssertionError, match="t-"):
        run_walks(walk_type)


@pytest.mark.parametrize("fences_twice", [True, False])
def test_member_that_restarts_after_its_first_fence_is_detected_by_the_second(fences_twice):
    group = MemoryGroup(dict(zip(NAMES, "abc", strict=True)))
    first, second, third = (group.targets[name] for name in NAMES)
    fence = Fence(term=2, proposer="p")
    before = second.control(fence).state
    second.restart()
    req = Follow(term=1, primary="t-a", address=ADDRESS)
    req.incarnation = second.state.incarnation
    second.control(req)
    group.replicate("t-b")
    written = first.write(1, "late").ok_value.position
    group.replicate("t-b")
    assert second.control(Confirm(position=written)).confirmed
    third.control(fence)
    if fences_twice:
        assert not is_same_incarnation(before, second.control(fence).state)
        return
    # With a single round of fences, two of three members count as fenced, although the promoted
    # one lacks a confirmed write.
    promoted = third.control(Promote(term=2, proposer="p"))
    assert promoted.failure is None
    assert not third.state.database.contains(written)
