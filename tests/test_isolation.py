import uuid

import pytest

from quetzalrudder.exceptions import (
    AccessDenied,
    InvalidToken,
    OutcomeUnknown,
    QuetzalrudderError,
)
from quetzalrudder.schema.caller import Access, CallerFrame, Commit, Rollback, Statement
from quetzalrudder.schema.common import Ending
from standins.demo import STEPPE_SETTINGS
from standins.fleet import Fleet
from tests.conftest import SMALL_DEPLOYMENT
from tests.helpers import grant_key

OWN = "steppe/branch-1"
OTHER = "steppe/branch-2"
INSERT = "INSERT INTO offers VALUES (?)"
SELECT = "SELECT plate FROM offers"

SETTINGS = (
    STEPPE_SETTINGS
    + """
[route steppe/prices]
open = true

[route public]
group = valuation-core-1
"""
)


@pytest.fixture(scope="module")
def fleet():
    with Fleet(SMALL_DEPLOYMENT, SETTINGS) as running:
        yield running


@pytest.fixture(scope="module")
def keys(fleet):
    granted = {name: grant_key(fleet, name) for name in (OWN, OTHER)}
    with fleet.session("astana-a-1", workspace=OWN, key=granted[OWN]) as session:
        session.write("steppe/offers", "CREATE TABLE offers (plate TEXT)")
    return granted


@pytest.mark.parametrize("route", ["steppe/offers", "steppe/comparables", "public"])
@pytest.mark.parametrize("claimed", ["", OWN, OTHER, "steppe/", "steppe/none", "none"])
def test_claimed_workspace_without_a_key_reaches_no_closed_route(fleet, keys, claimed, route):
    before = sum(fleet.statistics(target).statements for target in fleet.target_addresses)
    with fleet.session("astana-a-1", workspace=claimed) as session:
        for run in (session.read, session.write):
            with pytest.raises(AccessDenied) as exc_info:
                run(route, "SELECT 1")
            assert exc_info.value.ending is Ending.NOT_RUN
        with pytest.raises(AccessDenied):
            session.ask_outcome(route, "any")
    after = sum(fleet.statistics(target).statements for target in fleet.target_addresses)
    assert after == before


def test_claimed_workspace_without_a_key_is_anonymous_on_an_open_route(fleet, keys):
    """A caller without the key can use neither the outcomes nor the tokens of a workspace."""
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        owner.write("steppe/prices", INSERT, "01 KZ", request_id="owned")
        token = owner.token
    with fleet.session("karaganda-1", workspace=OWN) as claimant:
        assert claimant.read("steppe/prices", "SELECT 1").rows == [(1,)]
        with pytest.raises(OutcomeUnknown):
            claimant.ask_outcome("steppe/prices", "owned")
        result = claimant.ask_outcome("steppe/prices", "owned", sent_ago_s=1)
        assert (result.ending, result.changed, result.repeated) == (Ending.NOT_RUN, 0, False)
        claimant.token = token
        with pytest.raises((AccessDenied, InvalidToken)):
            claimant.read("steppe/prices", "SELECT 1")


def test_session_token_of_another_workspace_is_refused(fleet, keys):
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        owner.read("steppe/offers", SELECT)
        token = owner.token
    with fleet.session("astana-a-1", workspace=OTHER, key=keys[OTHER]) as other:
        other.token = token
        for route in ("steppe/offers", "steppe/prices"):
            with pytest.raises((AccessDenied, InvalidToken)) as exc_info:
                other.read(route, SELECT)
            assert exc_info.value.ending is Ending.NOT_RUN


def test_request_id_of_another_workspace_reveals_and_blocks_nothing(fleet, keys):
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        owner.write("steppe/offers", INSERT, "first", request_id="shared-id")
    with fleet.session("astana-a-1", workspace=OTHER, key=keys[OTHER]) as other:
        with pytest.raises(OutcomeUnknown):
            other.ask_outcome("steppe/offers", "shared-id")
        written = other.write("steppe/offers", INSERT, "second", request_id="shared-id")
        assert (written.changed, written.repeated) == (1, False)


def test_transaction_of_another_workspace_is_refused(fleet, keys):
    with fleet.session("astana-a-1", workspace=OTHER, key=keys[OTHER]) as other:
        stmt = Statement(
            route="steppe/offers",
            sql=SELECT,
            access=Access.READ,
            deadline_ms=2000,
            transaction_id=uuid.uuid4().hex,
        )
        with pytest.raises(QuetzalrudderError) as exc_info:
            other.send(CallerFrame(request_id="in-transaction", statement=stmt))
        assert exc_info.value.ending is Ending.NOT_RUN


def test_open_transaction_of_another_workspace_is_out_of_reach(fleet, keys):
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        with owner.transaction("steppe/offers") as transaction:
            transaction.write(INSERT, "pinned")
            transaction_id = transaction._transaction_id
            for workspace, key in ((OTHER, keys[OTHER]), (OWN, "")):
                with fleet.session("astana-a-1", workspace=workspace, key=key) as other:
                    for request in (
                        Commit(transaction_id=transaction_id, route="steppe/offers"),
                        Rollback(transaction_id=transaction_id),
                    ):
                        name = type(request).__name__.lower()
                        frame = CallerFrame(request_id=uuid.uuid4().hex, **{name: request})
                        with pytest.raises(QuetzalrudderError) as exc_info:
                            other.send(frame)
                        assert exc_info.value.ending is not Ending.DONE
            transaction.write(INSERT, "pinned too")
        rows = owner.read("steppe/offers", SELECT).rows
        assert {("pinned",), ("pinned too",)} <= set(rows)
