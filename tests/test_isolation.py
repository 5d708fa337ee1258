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
            with pytest.raises(AccessDenied) as refused:
                run(route, "SELECT 1")
            assert refused.value.ending is Ending.NOT_RUN
        with pytest.raises(AccessDenied):
            session.ask_outcome(route, "any")
    after = sum(fleet.statistics(target).statements for target in fleet.target_addresses)
    assert after == before


def test_claimed_workspace_without_a_key_is_nobody_on_an_open_route(fleet, keys):
    """Neither its recorded outcomes nor its session tokens serve a caller without its key."""
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        owner.write("steppe/prices", INSERT, "01 KZ", request_id="owned")
        token = owner.token
    with fleet.session("karaganda-1", workspace=OWN) as claimant:
        assert claimant.read("steppe/prices", "SELECT 1").rows == [(1,)]
        with pytest.raises(OutcomeUnknown):
            claimant.ask_outcome("steppe/prices", "owned")
        found = claimant.ask_outcome("steppe/prices", "owned", sent_ago_s=1)
        assert (found.ending, found.changed, found.repeated) == (Ending.NOT_RUN, 0, False)
        claimant.token = token
        with pytest.raises((AccessDenied, InvalidToken)):
            claimant.read("steppe/prices", "SELECT 1")


def test_session_token_of_another_workspace_is_refused(fleet, keys):
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        owner.read("steppe/offers", SELECT)
        token = owner.token
    with fleet.session("astana-a-1", workspace=OTHER, key=keys[OTHER]) as borrower:
        borrower.token = token
        for route in ("steppe/offers", "steppe/prices"):
            with pytest.raises((AccessDenied, InvalidToken)) as refused:
                borrower.read(route, SELECT)
            assert refused.value.ending is Ending.NOT_RUN


def test_request_id_of_another_workspace_tells_nothing_and_blocks_nothing(fleet, keys):
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        owner.write("steppe/offers", INSERT, "first", request_id="shared-id")
    with fleet.session("astana-a-1", workspace=OTHER, key=keys[OTHER]) as borrower:
        with pytest.raises(OutcomeUnknown):
            borrower.ask_outcome("steppe/offers", "shared-id")
        written = borrower.write("steppe/offers", INSERT, "second", request_id="shared-id")
        assert (written.changed, written.repeated) == (1, False)


def test_transaction_of_another_workspace_is_refused(fleet, keys):
    with fleet.session("astana-a-1", workspace=OTHER, key=keys[OTHER]) as borrower:
        stmt = Statement(
            route="steppe/offers",
            sql=SELECT,
            access=Access.READ,
            deadline_ms=2000,
            transaction_id=uuid.uuid4().hex,
        )
        with pytest.raises(QuetzalrudderError) as refused:
            borrower.send(CallerFrame(request_id="in-transaction", statement=stmt))
        assert refused.value.ending is Ending.NOT_RUN


def test_open_transaction_of_another_workspace_is_out_of_reach(fleet, keys):
    with fleet.session("astana-a-1", workspace=OWN, key=keys[OWN]) as owner:
        with owner.transaction("steppe/offers") as transaction:
            transaction.write(INSERT, "pinned")
            borrowed = transaction._transaction_id
            for workspace, key in ((OTHER, keys[OTHER]), (OWN, "")):
                with fleet.session("astana-a-1", workspace=workspace, key=key) as borrower:
                    for kind in (
                        Commit(transaction_id=borrowed, route="steppe/offers"),
                        Rollback(transaction_id=borrowed),
                    ):
                        name = type(kind).__name__.lower()
                        frame = CallerFrame(request_id=uuid.uuid4().hex, **{name: kind})
                        with pytest.raises(QuetzalrudderError) as refused:
                            borrower.send(frame)
                        assert refused.value.ending is not Ending.DONE
            transaction.write(INSERT, "pinned too")
        rows = owner.read("steppe/offers", SELECT).rows
        assert {("pinned",), ("pinned too",)} <= set(rows)
