import json
import signal

import pytest

from quetzalrudder import QuetzalrudderError, api
from quetzalrudder.ctl import main as ctl
from quetzalrudder.exceptions import (
    AccessDenied,
    KeyInStatement,
    KeyWithdrawn,
    LinkLost,
    RequestChanged,
    RouteNotFound,
    StatementFailed,
    Unauthenticated,
)
from quetzalrudder.schema.common import Ending
from standins.demo import STEPPE_SETTINGS, VENUE_SETTINGS, run_venue_demo
from standins.deployments import HOCHZEITSRAUM
from standins.fleet import Fleet
from tests.conftest import SMALL_DEPLOYMENT
from tests.helpers import grant_key, wait_for, wait_for_revision

WORKSPACE = "steppe/branch-1"
INSERT = "INSERT INTO offers VALUES (?, ?)"
SELECT = "SELECT plate, price FROM offers ORDER BY plate"


@pytest.fixture(scope="module")
def key(fleet):
    granted = grant_key(fleet, WORKSPACE)
    with fleet.session("astana-a-1", workspace=WORKSPACE, key=granted) as session:
        session.write("steppe/offers", "CREATE TABLE offers (plate TEXT, price INTEGER)")
    return granted


def test_offer_is_read_at_once_through_another_instance(fleet, key):
    with fleet.session("astana-a-1", "karaganda-1", workspace=WORKSPACE, key=key) as session:
        written = session.write("steppe/offers", INSERT, "01 KZ 001", 4_100_000)
        session.roam()
        answer = session.read("steppe/offers", SELECT)
    assert answer.instance != written.instance
    assert ("01 KZ 001", 4_100_000) in answer.rows


def test_reads_that_accept_older_data_go_to_replicas(fleet, key):
    with fleet.session("astana-b-1", workspace=WORKSPACE, key=key) as session:
        targets = {session.read("steppe/comparables", SELECT).target for _ in range(20)}
    assert targets - {"valuation-core-1-a"}


def test_repeated_write_runs_once(fleet, key):
    with fleet.session("astana-a-1", "astana-b-1", workspace=WORKSPACE, key=key) as session:
        first = session.write("steppe/offers", INSERT, "02 KZ", 1, request_id="twice")
        session.roam()
        second = session.write("steppe/offers", INSERT, "02 KZ", 1, request_id="twice")
        rows = session.read("steppe/offers", SELECT).rows
        with pytest.raises(RequestChanged) as refused:
            session.write("steppe/offers", INSERT, "other", 2, request_id="twice")
    assert (first.repeated, second.repeated) == (False, True)
    assert rows.count(("02 KZ", 1)) == 1
    assert refused.value.ending is Ending.NOT_RUN


def test_each_refusal_raises_its_own_exception(fleet, key):
    with fleet.session("astana-a-1", workspace=WORKSPACE, key=key) as session:
        with pytest.raises(RouteNotFound):
            session.read("steppe/nowhere", "SELECT 1")
        with pytest.raises(StatementFailed):
            session.read("steppe/offers", "SELECT nothing FROM nowhere")
        with pytest.raises(StatementFailed):
            session.read("steppe/offers", "DELETE FROM offers")
        with pytest.raises(KeyInStatement):
            session.write("steppe/offers", INSERT, key, 1)
    with (
        fleet.session("astana-a-1", workspace=WORKSPACE, key="wrong") as session,
        pytest.raises(Unauthenticated),
    ):
        session.read("steppe/offers", SELECT)
    with (
        fleet.session("astana-a-1", workspace="other/one") as session,
        pytest.raises(AccessDenied),
    ):
        session.read("steppe/offers", SELECT)


def test_no_target_received_the_key(fleet, key):
    for target in fleet.target_addresses:
        assert key.encode() not in fleet.received_bytes(target)


def test_withdrawn_key_ends_a_connected_caller(fleet):
    granted = grant_key(fleet, "steppe/branch-2")
    with fleet.session("astana-b-1", workspace="steppe/branch-2", key=granted) as session:
        session.read("steppe/comparables", "SELECT 1")
        change = fleet.operator("astana-a-1").withdraw_key("steppe/branch-2", granted)
        wait_for_revision(fleet, change.revision)
        with pytest.raises(KeyWithdrawn):
            session.read("steppe/comparables", "SELECT 1")


def test_operators_tool(fleet, key, capsys):
    control = f"--control={fleet.control_addresses['astana-a-1']}"
    assert ctl(["status", control, "--json"]) == 0
    status = json.loads(capsys.readouterr().out)
    assert status["state"] == "serving"
    assert len(status["targets"]) == 6
    assert ctl(["route", "add", "steppe/quotes", "--max_age_ms=900", control]) == 0
    assert ctl(["workspace", "create", "steppe/branch-9", "--weight=2", control]) == 0
    capsys.readouterr()
    show_settings = ["settings", "show", "steppe/quotes", "--effective", "--json", control]
    assert ctl(show_settings) == 0
    branches = json.loads(capsys.readouterr().out)["branches"]
    assert next(iter(branches.values()))["group"] == "valuation-core-1"
    query = ["query", "steppe/comparables", "SELECT 6 * ?", "7", "--json"]
    instance = f"--instance={fleet.instance_addresses['astana-a-1']}"
    assert ctl([*query, instance, f"--workspace={WORKSPACE}", f"--key={key}"]) == 0
    assert json.loads(capsys.readouterr().out)["rows"] == [[42]]
    assert ctl([*query, instance, f"--workspace={WORKSPACE}", "--key=wrong"]) == 1
    assert json.loads(capsys.readouterr().err)["error"] == "unauthenticated"
    assert ctl(["timeline", control]) == 0
    assert "settings-applied" in capsys.readouterr().out
    assert ctl(["no-such-command"]) == 2
    assert ctl(["workspace", "create", "steppe/x", "--colour=red", control]) == 1


def test_functions_for_single_statements(fleet, key):
    address = fleet.instance_addresses["astana-a-1"]
    answer = api.read(address, "steppe/comparables", "SELECT 1", workspace=WORKSPACE, key=key)
    assert answer.rows == [(1,)]
    with pytest.raises(QuetzalrudderError):
        api.write(address, "steppe/offers", INSERT, "x", 1)


def test_log_lines_are_json_with_request_workspace_and_instance(fleet, key):
    lines = [json.loads(line) for line in fleet.read_log("astana-a-1").splitlines()]
    failed = [line for line in lines if line["message"].startswith("request failed")]
    assert failed
    assert all(line["request_id"] and line["instance"] == "astana-a-1" for line in failed)
    assert any(line["workspace"] == WORKSPACE for line in failed)


def test_graceful_shutdown_moves_callers_on():
    with Fleet(SMALL_DEPLOYMENT, STEPPE_SETTINGS) as fleet:
        granted = grant_key(fleet, WORKSPACE)
        session = fleet.session("astana-a-1", "astana-b-1", workspace=WORKSPACE, key=granted)
        with session:
            assert session.read("steppe/comparables", "SELECT 1").instance == "astana-a-1"
            assert fleet.stop("astana-a-1") == 0
            assert session.read("steppe/comparables", "SELECT 1").instance == "astana-b-1"
        fleet.signal("astana-b-1", signal.SIGSTOP)
        fleet.signal("astana-b-1", signal.SIGCONT)
        fleet.kill("astana-b-1")
        with fleet.session("astana-b-1") as session, pytest.raises(LinkLost):
            session.read("steppe/comparables", "SELECT 1")


def test_venue_records_a_hold_and_sees_the_calendar():
    with Fleet(HOCHZEITSRAUM, VENUE_SETTINGS) as fleet:
        run_venue_demo(fleet)
        wait_for(lambda: fleet.statistics("venue-ledger-1-a").statements > 0, "statements counted")
