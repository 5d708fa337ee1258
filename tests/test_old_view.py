"""What callers are told by an instance whose view of the store is not current."""

import json
import logging

import pytest
from result import Err, Ok
from rig.configuration import catalog_handler, decode_catalog, evacuation_handler
from rig.wire import encode_greeting_answer

from quetzalrudder.exceptions import RouteNotFound, Unauthenticated
from quetzalrudder.gateway.statements import Begin, Read, SessionState, Write
from quetzalrudder.gateway.store_contact import loggable_age_s
from tests.gateway_fleet import GatewayFleet

# The time within which a configuration must be in force, by default.
CONVERGENCE_S = 3.0


def configuration(version, routes=("offers", "prices"), keys=("key-1",)):
    kinds = {"prices": "bounded"}
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "host": name,
                    "service": "g",
                    "kind": kinds.get(name, "primary"),
                    "maxStalenessMs": 1500,
                    "timeoutMs": 1000,
                    "goalMs": 200,
                    "priority": 1,
                }
                for name in routes
            ],
            "services": [{"name": "g", "maxConns": 30}],
            "tenants": [
                {"name": "almaty", "ratePerS": 100, "burst": 100, "apiKeys": list(keys)},
            ],
        }
    ).encode()


class ConfiguredFleet(GatewayFleet):
    """A fleet that takes its configuration from the store."""

    def handlers(self, gateway):
        return [catalog_handler(gateway.catalogs), evacuation_handler(gateway.evacuations)]

    def decode_catalog(self, encoded):
        return decode_catalog(encoded)

    def configure(self, version, **parts):
        self.store.put("op/config", configuration(version, **parts), None)


@pytest.fixture
def fleet():
    started = ConfiguredFleet()
    started.configure(2)
    started.run(5.0, started.all_know_primary)
    started.run(1.0)
    return started


def cut(edge, disconnected=True):
    """Cut an instance from the store and from its peers."""
    edge.cut_from_store(disconnected)
    edge.cut_from_peers = disconnected


def miss_configuration(fleet, **parts):
    """Let the first instance miss a configuration, and reach the store again without a read."""
    edge = fleet[0]
    cut(edge)
    fleet.run(1.0)
    fleet.configure(3, **parts)
    fleet.run(CONVERGENCE_S + 1.0)
    cut(edge, False)
    edge.gateway.contact.record_success()
    return edge


def read_again(fleet):
    """Let an instance reach the store through its cut again, until its view is current."""
    assert fleet.run(1.0, lambda: fleet[0].gateway.contact.is_view_current) is not None


@pytest.mark.parametrize(
    ("parts", "database", "key"),
    [
        ({"routes": ("offers", "added")}, "added", "key-1"),
        ({"keys": ("key-1", "key-9")}, "offers", "key-9"),
    ],
    ids=["route", "key"],
)
def test_callers_of_what_was_added_during_a_cut_are_not_refused_for_good_before_the_next_read(
    fleet, parts, database, key
):
    # The store answers again, a caller arrives, and the view follows after it.
    edge = miss_configuration(fleet, **parts)
    assert edge.gateway.contact.contact_s >= 0
    session = edge.session(database, key)
    for error in (session.check_access().err_value, session.execute("r", Read("a")).error):
        assert not isinstance(error, RouteNotFound | Unauthenticated)
        assert error.retry_after_ms > 0
        assert encode_greeting_answer(error).startswith("ERR BUSY ")
    assert not session.execute("r", Read("a")).close
    read_again(fleet)
    assert session.check_access() == Ok(None)
    fleet.run(1.0)
    assert session.execute("r", Read("a")).error is None


def test_callers_of_what_no_configuration_has_are_refused_for_good_by_a_current_view(fleet):
    edge = miss_configuration(fleet)
    read_again(fleet)
    for _ in range(4):
        assert isinstance(edge.session("none").check_access().err_value, RouteNotFound)
        unknown = edge.session("offers", "none").check_access()
        assert isinstance(unknown.err_value, Unauthenticated)
        # As long as the view may be old without lacking a change that must be in force.
        fleet.clock.advance(CONVERGENCE_S / 4)
    fleet.clock.advance(0.1)
    assert not isinstance(edge.session("none").check_access().err_value, RouteNotFound)


def test_an_instance_that_is_cut_off_serves_the_routes_and_keys_that_it_knows(fleet):
    edge = fleet[0]
    cut(edge)
    fleet.clock.advance(CONVERGENCE_S + 1.0)
    assert not edge.gateway.contact.is_view_current
    assert edge.session("prices").check_access() == Ok(None)


def test_instances_stay_ready_while_the_store_is_away_for_all(fleet):
    for edge in fleet.instances:
        edge.cut_from_store()
    fleet.run(CONVERGENCE_S + 2.0)
    assert not any(edge.gateway.contact.is_view_current for edge in fleet.instances)
    assert all(edge.gateway.ready for edge in fleet.instances)


def test_an_answer_that_arrives_late_confirms_the_view_of_the_end_of_the_wait(fleet):
    # An answer that was on its way while the machine slept counted as current.
    edge = fleet[0]
    store = edge.mirror._store
    wait_s = edge.mirror.next_wait_s

    class SleepingStore:
        def watch(self, after, wait_ms):
            result = store.watch(after, wait_ms)
            fleet.clock.advance(wait_s + 5.0)
            return result

    edge.mirror._store = SleepingStore()
    edge.mirror.step()
    assert edge.gateway.contact.view_age_s == pytest.approx(5.0)


def test_a_view_that_is_confirmed_while_a_caller_is_checked_does_not_vouch_for_the_catalog_before(
    fleet,
):
    edge = miss_configuration(fleet, routes=("offers", "added"))
    gateway = edge.gateway

    class Contact:
        """Becomes current as soon as it has been asked whether it is."""

        view_age_s = 9.0

        @property
        def is_view_current(self):
            read_again(fleet)
            return False

    authorizer = gateway._services.authorizer
    authorizer._contact = Contact()
    view = authorizer.take_view()
    assert not view.is_current
    assert "added" in view.catalog.routes


def test_a_withdrawn_key_ends_an_open_transaction_also_if_its_route_goes_with_it(fleet):
    session = fleet[0].session("offers", "key-1")
    assert session.execute("b", Begin(read_only=False)).error is None
    assert session.execute("w", Write("a", "1")).error is None
    fleet.configure(3, routes=("prices",), keys=("key-2",))
    fleet.run(0.2)
    answer = session.execute("w", Write("a", "2"))
    assert type(answer.error).__name__ == "TransactionAborted"
    assert answer.state is SessionState.FAILED_TRANSACTION


def test_an_open_transaction_goes_on_while_its_route_is_removed(fleet):
    session = fleet[0].session("offers", "key-1")
    assert session.execute("b", Begin(read_only=False)).error is None
    fleet.configure(3, routes=("prices",))
    fleet.run(0.2)
    assert session.execute("w", Write("a", "1")).error is None


def test_the_log_and_the_metrics_tell_an_outdated_view_from_lost_contact(fleet, caplog):
    caplog.set_level(logging.INFO)
    edge = miss_configuration(fleet, routes=("offers", "added"))
    edge.gateway.contact.log_view_changes()
    edge.session("added").check_access()
    read_again(fleet)
    edge.gateway.contact.log_view_changes()
    edge.gateway.contact.log_view_changes()
    outdated, current = (
        record for record in caplog.records if record.message.startswith("view of the store")
    )
    assert (outdated.message, current.message) == (
        "view of the store outdated",
        "view of the store current again",
    )
    assert outdated.store_reached
    assert outdated.view_age_s > CONVERGENCE_S > current.view_age_s
    lines = [record for record in caplog.records if record.message.startswith("store provides")]
    failing, again = lines
    assert failing.message == "store provides no changes"
    assert again.message == "store provides changes again"
    assert again.failures > 1
    assert again.failing_s > CONVERGENCE_S
    rendered = edge.gateway.metrics.render().decode()
    assert 'quetzalrudder_unconfirmed_refusals_total{missing="route"} 1.0' in rendered


def test_an_infinite_age_of_the_view_is_left_out_of_log_lines_that_are_json():
    assert loggable_age_s(float("inf")) is None
    assert loggable_age_s(1.234) == 1.23


def test_a_configuration_that_cannot_be_read_leaves_no_refusal_for_good(fleet):
    edge = fleet[0]
    fleet.store.put("op/config", b"{", None)
    fleet.run(0.2)
    assert edge.gateway.contact.is_view_current
    refused = edge.session("added").check_access()
    assert isinstance(refused, Err)
    assert not isinstance(refused.err_value, RouteNotFound)
    fleet.configure(4)
    fleet.run(0.2)
    assert isinstance(edge.session("added").check_access().err_value, RouteNotFound)
