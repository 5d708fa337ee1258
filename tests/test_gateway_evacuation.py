"""Tests of the evacuation of a data centre, under load and with one failure at a time."""

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import PrimaryChanging, TransactionAborted
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.borrowing import owners_of
from quetzalrudder.gateway.evacuation import (
    REWRITE_TIME_S,
    Evacuation,
    EvacuationTable,
    PrimaryEvacuated,
)
from quetzalrudder.gateway.permission import PERMISSION_S
from quetzalrudder.gateway.statements import Begin, Commit, Read, SessionState, Write
from quetzalrudder.gateway.store import StoreEra, revision_in
from quetzalrudder.gateway.store_contact import StoreContact
from tests.clocks import ManualClock
from tests.gateway_fakes import FakeLink
from tests.gateway_fleet import GatewayFleet

LIMIT_S = 5.0
SMALL = ("edge-1", "edge-2", "edge-3")
LARGE = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 1))


def start_fleet(names=SMALL):
    fleet = GatewayFleet(names)
    assert fleet.run(2.0, fleet.all_know_primary) is not None
    # Older than the limit, so that a change which a watch returns is known to be recent.
    fleet.run(max(PERMISSION_S, LIMIT_S) + 1)
    return fleet


@pytest.fixture
def fleet():
    return start_fleet()


@pytest.fixture
def arrivals(fleet, monkeypatch):
    return record_arrivals(fleet, monkeypatch)


def record_arrivals(fleet, monkeypatch):
    """Record the time and the data centre of each request that reaches a database."""
    found = []

    def recorded(call):
        def wrapper(link, *args):
            found.append((fleet.clock.now, link.database.info.data_centre))
            return call(link, *args)

        return wrapper

    for name in ("run", "status", "step_down", "reset"):
        monkeypatch.setattr(FakeLink, name, recorded(getattr(FakeLink, name)))
    return found


def request(fleet, data_centre):
    fleet.store.put(f"op/evacuate/{data_centre}", b"{}", None)
    return fleet.clock.now


def take_back(fleet, data_centre):
    fleet.store.put(f"op/evacuate/{data_centre}", None, None)


def work(fleet, seconds):
    """Send a read and a write at some instances in each step; return the answers."""
    answers = []
    until = fleet.clock.now + seconds
    number = 0
    while fleet.clock.now < until:
        for _ in range(3):
            number += 1
            instance = fleet.instances[number % len(fleet.instances)]
            for database, statement in (("prices", Read("a")), ("quick", Write("a", str(number)))):
                request_id = f"{database}-{number}-{fleet.clock.now}"
                answers.append(instance.session(database).execute(request_id, statement))
        fleet.group.replicate()
        fleet.run(0.1)
    return answers


def latest_arrival(arrivals, data_centre):
    return max((at for at, name in arrivals if name == data_centre), default=0.0)


def table(contact_s=LIMIT_S):
    clock = ManualClock()
    contact = StoreContact(clock)
    contact.record_success()
    clock.advance(contact_s)
    contact.record_view()
    return EvacuationTable(contact, clock, LIMIT_S), clock


@pytest.mark.parametrize("names", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("data_centre", ["dc-0", "dc-1"])
def test_no_request_reaches_an_evacuated_data_centre(names, data_centre, monkeypatch):
    """The first holds the primary, which a database elsewhere replaces."""
    fleet = start_fleet(names)
    arrivals = record_arrivals(fleet, monkeypatch)
    work(fleet, 0.5)
    asked_at = request(fleet, data_centre)
    work(fleet, 6.0)
    assert latest_arrival(arrivals, data_centre) <= asked_at + LIMIT_S
    assert all(answer.error is None for answer in work(fleet, 1.0))
    assert bool(fleet.group.promotions) == (data_centre == "dc-0")


def test_a_request_that_is_taken_back_leaves_the_databases_usable(fleet, arrivals):
    request(fleet, "dc-1")
    work(fleet, 3.0)
    take_back(fleet, "dc-1")
    back_at = fleet.clock.now
    work(fleet, 2.0)
    assert latest_arrival(arrivals, "dc-1") > back_at
    assert fleet.group.promotions == []


def test_a_request_that_the_store_has_lost_holds_until_it_can_be_written_again():
    # The first read after a return from an older copy opened the data centre.
    evacuations, clock = table()
    evacuations.observe_change(Evacuation("dc-1", 90, True))
    clock.advance(LIMIT_S)
    evacuations.replace_all({}, revision_in(StoreEra(1), 50))
    evacuations.end_missing()
    assert evacuations.is_closed("dc-1")
    evacuations.observe_change(Evacuation("dc-1", revision_in(StoreEra(1), 51), True))
    clock.advance(REWRITE_TIME_S)
    evacuations.end_missing()
    assert evacuations.is_closed("dc-1")


def test_a_request_that_is_not_written_again_after_a_return_ends():
    # Its end would never be seen, as the store has lost both.
    evacuations, clock = table()
    evacuations.observe_change(Evacuation("dc-1", 90, True))
    evacuations.replace_all({}, revision_in(StoreEra(1), 50))
    clock.advance(REWRITE_TIME_S)
    evacuations._contact.record_view()
    evacuations.end_missing()
    assert not evacuations.is_evacuated("dc-1")


def test_of_two_requests_each_holds_until_it_is_taken_back(fleet, arrivals):
    asked_at = request(fleet, "dc-0")
    request(fleet, "dc-1")
    work(fleet, 6.0)
    take_back(fleet, "dc-1")
    work(fleet, 2.0)
    assert latest_arrival(arrivals, "dc-0") <= asked_at + LIMIT_S
    assert fleet.group["db-3"].primary


def test_statements_are_refused_at_once_if_all_databases_are_evacuated(fleet, arrivals):
    asked_at = [request(fleet, data_centre) for data_centre in ("dc-0", "dc-1", "dc-2")][0]
    work(fleet, 6.0)
    assert max(at for at, _ in arrivals) <= asked_at + LIMIT_S
    for database, statement in (("prices", Read("a")), ("offers", Write("a", "1"))):
        started = fleet.clock.now
        error = fleet[1].session(database).execute("r", statement).error
        assert isinstance(error, PrimaryEvacuated) and error.retry_after_ms > 0
        assert fleet.clock.now == started
    for data_centre in ("dc-0", "dc-1", "dc-2"):
        take_back(fleet, data_centre)
    fleet.run(1.0)
    assert all(answer.error is None for answer in work(fleet, 1.0))
    assert fleet.group.promotions == []


def test_a_transaction_is_ended_before_the_bound_and_keeps_nothing(fleet, arrivals):
    session = fleet[0].session("offers")
    assert session.execute("b", Begin(False)).error is None
    assert session.execute("w", Write("a", "1")).error is None
    asked_at = request(fleet, "dc-0")
    fleet.run(LIMIT_S + 1)
    assert isinstance(session.execute("c", Commit()).error, TransactionAborted)
    assert session.state is SessionState.IDLE
    assert fleet.group["db-1"].log == []
    assert latest_arrival(arrivals, "dc-0") <= asked_at + LIMIT_S


@pytest.mark.parametrize("restarted", [SMALL[:1], SMALL], ids=["one", "all"])
def test_an_instance_that_starts_after_the_request_sends_nothing(fleet, arrivals, restarted):
    """It cannot know how old the request is."""
    asked_at = request(fleet, "dc-1")
    fleet.run(LIMIT_S - 0.1)
    for name in restarted:
        fleet.start(name, 7)
    work(fleet, 3.0)
    assert latest_arrival(arrivals, "dc-1") <= asked_at + LIMIT_S


def test_an_instance_without_the_store_learns_of_a_request_from_its_peers(fleet, arrivals):
    fleet[2].cut_from_store()
    asked_at = request(fleet, "dc-1")
    work(fleet, 7.0)
    assert fleet[2].gateway.evacuations.is_evacuated("dc-1")
    assert latest_arrival(arrivals, "dc-1") <= asked_at + LIMIT_S
    take_back(fleet, "dc-1")
    fleet.run(1.0)
    assert not fleet[2].gateway.evacuations.is_evacuated("dc-1")


def test_a_request_holds_while_the_store_is_silent(fleet, arrivals):
    asked_at = request(fleet, "dc-1")
    fleet.run(0.5)
    for instance in fleet.instances:
        instance.cut_from_store()
    work(fleet, 8.0)
    assert latest_arrival(arrivals, "dc-1") <= asked_at + LIMIT_S


def test_a_full_read_without_the_key_takes_the_request_back(fleet):
    request(fleet, "dc-1")
    fleet.run(0.5)
    fleet[0].cut_from_store()
    take_back(fleet, "dc-1")
    fleet.store.compact()
    fleet[0].cut_from_store(False)
    fleet.run(1.0)
    assert not fleet[0].gateway.evacuations.is_evacuated("dc-1")


def test_older_states_from_peers_are_ignored():
    evacuations, _ = table()
    evacuations.observe_change(Evacuation("dc-1", 5, True))
    evacuations.observe_change(Evacuation("dc-1", 7, False))
    evacuations.observe_peer([Evacuation("dc-1", 5, True)])
    assert not evacuations.is_evacuated("dc-1")
    evacuations.observe_change(Evacuation("dc-1", 9, True))
    # A read that was answered before the second request does not contain it.
    evacuations.replace_all({}, 8)
    assert evacuations.is_evacuated("dc-1")
    evacuations.replace_all({}, 10)
    assert not evacuations.is_evacuated("dc-1")


def test_a_change_that_a_relay_returned_takes_full_effect_at_once():
    clock = ManualClock()
    contact = StoreContact(clock)
    contact.record_success()
    clock.advance(LIMIT_S)
    relayed = EvacuationTable(contact, clock, LIMIT_S, watches_store=lambda: False)
    watched = EvacuationTable(contact, clock, LIMIT_S)
    for evacuations in (relayed, watched):
        evacuations.observe_change(Evacuation("dc-1", 5, True))
    assert relayed.is_closed("dc-1")
    assert not watched.is_closed("dc-1")


@pytest.mark.parametrize(("contact_s", "closes_after_s"), [(LIMIT_S, LIMIT_S / 2), (1.0, 0.0)])
def test_a_request_that_may_be_old_is_in_force_at_once(contact_s, closes_after_s):
    evacuations, clock = table(contact_s)
    evacuations.observe_change(Evacuation("dc-1", 5, True))
    assert evacuations.is_closed("dc-1") == (closes_after_s == 0)
    clock.advance(closes_after_s)
    assert evacuations.is_closed("dc-1")


def test_a_connection_owner_refuses_a_peer_that_does_not_know_of_the_request(monkeypatch):
    fleet = start_fleet(LARGE)
    arrivals = record_arrivals(fleet, monkeypatch)
    # Leaves idle connections at the owners.
    work(fleet, 1.0)
    for data_centre in ("dc-1", "dc-2"):
        request(fleet, data_centre)
    fleet.run(LIMIT_S + 1)
    owners = {
        owner.instance for owner in owners_of(fleet[0].gateway.view, fleet.group["db-2"].info)
    }
    unaware = next(instance for instance in fleet.instances if instance.name not in owners)
    unaware.gateway.evacuations._entries.clear()
    arrivals.clear()
    for number in range(5):
        assert unaware.session("prices").execute(f"r{number}", Read("a")).error is None
    assert {name for _, name in arrivals} <= {"dc-0"}


def test_connections_are_closed_by_degrees(fleet):
    gateway = fleet[0].gateway
    target = gateway.registry.queryable("db-2")
    limits = [gateway._connection_limit(target)]
    request(fleet, "dc-1")
    for _ in range(4):
        fleet.run(LIMIT_S / 8)
        limits.append(gateway._connection_limit(target))
    assert limits == sorted(limits, reverse=True) and len(set(limits)) >= 4
    assert isinstance(gateway.prober.status(target), Err)
    assert isinstance(gateway.prober.status(gateway.registry.queryable("db-1")), Ok)


def test_a_refusal_is_not_taken_for_the_loss_of_the_primary(fleet):
    for data_centre in ("dc-0", "dc-1", "dc-2"):
        request(fleet, data_centre)
    work(fleet, 5.0)
    error = fleet[0].session("offers").execute("w", Write("a", "1")).error
    assert isinstance(error, PrimaryChanging)
    assert all(not instance.gateway._suspects() for instance in fleet.instances)
