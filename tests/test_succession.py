"""The choice of a successor from what is known of each database, without time or network."""

from dataclasses import replace

import pytest

from quetzalrudder.gateway.succession import (
    UNANNOUNCED,
    Candidate,
    NothingLeft,
    OldPrimary,
    OldPrimaryState,
    Promote,
    Wait,
    choose_complete,
    choose_furthest,
)
from quetzalrudder.gateway.targets import LogPosition


def at(index, term=1):
    return LogPosition(term, index)


def answered(name, index, **facts):
    return Candidate(name, at(index), at(index), **facts)


def busy(name, applied=None, **facts):
    return Candidate(name, holds=applied, busy=True, **facts)


def gone(name, bound=None):
    return Candidate(name, confirmed=bound, registered=False)


SILENT = OldPrimary("db-1", OldPrimaryState.SILENT)
GONE = OldPrimary("db-1", OldPrimaryState.GONE)


def answers(index, **facts):
    return OldPrimary("db-1", OldPrimaryState.ANSWERS, at(index), **facts)


CASES = {
    "the furthest of all that answer": (
        [answered("db-2", 7), answered("db-3", 9)],
        SILENT,
        Promote("db-3"),
    ),
    "a silent one may have confirmed more": (
        [answered("db-2", 7), Candidate("db-3")],
        SILENT,
        Wait(("db-3",)),
    ),
    "a busy one may have confirmed more": (
        [answered("db-2", 7), busy("db-3")],
        SILENT,
        Wait(("db-3",)),
    ),
    "a busy one whose reads see as much as the others have": (
        [answered("db-2", 7), busy("db-3", at(7))],
        SILENT,
        Promote("db-3"),
    ),
    "a busy one whose reads see less may have received more": (
        [answered("db-2", 7), busy("db-3", at(6))],
        SILENT,
        Wait(("db-3",)),
    ),
    "two busy ones of which neither has told": (
        [busy("db-2", at(7)), busy("db-3", at(9))],
        SILENT,
        Wait(("db-2",)),
    ),
    "one that drains, as it has most": (
        [answered("db-2", 7), answered("db-3", 9, may_stay=False)],
        SILENT,
        Promote("db-3"),
    ),
    "one that may stay, of two that have the same": (
        [answered("db-2", 9), answered("db-3", 9, may_stay=False)],
        SILENT,
        Promote("db-2"),
    ),
    "another one that has the same as one whose promotion failed": (
        [answered("db-2", 9), answered("db-3", 9, failed=True)],
        SILENT,
        Promote("db-2"),
    ),
    "one whose promotion failed, if it alone has all": (
        [answered("db-2", 7), answered("db-3", 9, failed=True)],
        SILENT,
        Promote("db-3"),
    ),
    "one that told its position earlier, and has less": (
        [answered("db-2", 7), Candidate("db-3", confirmed=at(5))],
        SILENT,
        Promote("db-2"),
    ),
    "one that told its position earlier, and has more": (
        [answered("db-2", 7), Candidate("db-3", confirmed=at(9))],
        SILENT,
        Wait(("db-3",)),
    ),
    "one that is gone may have confirmed more, and the old primary may return": (
        [answered("db-2", 7), gone("db-3")],
        SILENT,
        Wait(("db-1",)),
    ),
    "one that is gone, and so is the old primary": (
        [answered("db-2", 7), gone("db-3")],
        GONE,
        Promote("db-2"),
    ),
    "one that went before the primary was last seen": (
        [answered("db-2", 7), gone("db-3", at(6))],
        SILENT,
        Promote("db-2"),
    ),
    "one that is gone had told less": (
        [answered("db-2", 7), gone("db-3", at(8))],
        SILENT,
        Wait(("db-1",)),
    ),
    "one that began again without its log proves nothing": (
        [answered("db-2", 7), answered("db-3", 0), gone("db-3")],
        SILENT,
        Wait(("db-1",)),
    ),
    "one that has all that the old primary tells": (
        [answered("db-2", 9), Candidate("db-3")],
        answers(9),
        Promote("db-2"),
    ),
    "one that has less than the old primary tells, while another one is silent": (
        [answered("db-2", 7), Candidate("db-3")],
        answers(9),
        Wait(("db-3",)),
    ),
    "one that can receive the rest from the old primary": (
        [answered("db-2", 7), gone("db-3")],
        answers(9),
        Wait(("db-1",)),
    ),
    "the old primary itself, if nothing is received from it any more": (
        [answered("db-2", 7), gone("db-3")],
        answers(9, leads=False),
        Promote("db-1"),
    ),
    "the old primary, which alone is left": ([gone("db-2")], answers(9), Promote("db-1")),
    "the old primary, which may return": ([gone("db-2")], SILENT, Wait(("db-1",))),
    "nothing": ([gone("db-2")], GONE, NothingLeft()),
    "one that leads a later term already": (
        [answered("db-2", 7, leads_term=2), Candidate("db-3")],
        SILENT,
        Promote("db-2"),
    ),
    "one that is not announced yet may have confirmed more": (
        [answered("db-2", 7), Candidate(UNANNOUNCED, may_stay=False)],
        GONE,
        Wait((UNANNOUNCED,)),
    ),
    "none is missing, but one may have left unseen": (
        [answered("db-2", 7), gone(UNANNOUNCED)],
        SILENT,
        Wait(("db-1",)),
    ),
    "one that the record names, of two that have the same": (
        [answered("db-2", 9, recorded=True), answered("db-3", 9)],
        SILENT,
        Promote("db-2"),
    ),
    "one that the record names, of two that have all that was acknowledged": (
        [answered("db-2", 9, recorded=True), answered("db-3", 10)],
        answers(9),
        Promote("db-2"),
    ),
    "another one than the record names, whose promotion failed": (
        [answered("db-2", 9, recorded=True, failed=True), answered("db-3", 9)],
        SILENT,
        Promote("db-3"),
    ),
    "one whose promotion failed, if a call for it may still run": (
        [answered("db-2", 9, failed=True, may_be_called=True), answered("db-3", 9)],
        SILENT,
        Promote("db-2"),
    ),
    "a silent one that a call may still promote": (
        [Candidate("db-2", at(9), may_be_called=True), answered("db-3", 9)],
        SILENT,
        Wait(("db-2",)),
    ),
    "a busy one that a call may still promote": (
        [busy("db-2", at(7), may_be_called=True), answered("db-3", 9)],
        answers(9),
        Wait(("db-2",)),
    ),
    "one that a call may still promote, and that lacks commits, gets them from another one": (
        [answered("db-2", 7, may_be_called=True), answered("db-3", 9)],
        SILENT,
        Promote("db-3"),
    ),
    "one that a call may still promote is gone": (
        [replace(gone("db-2", at(7)), may_be_called=True), answered("db-3", 9)],
        SILENT,
        Promote("db-3"),
    ),
    "a position of a later term is further": (
        [Candidate("db-2", at(5, term=2), at(5, term=2)), answered("db-3", 9)],
        SILENT,
        Promote("db-2"),
    ),
}


@pytest.mark.parametrize(("candidates", "old", "decision"), CASES.values(), ids=CASES)
def test_only_a_database_that_has_all_acknowledged_commits_is_promoted(candidates, old, decision):
    assert choose_complete(candidates, old) == decision
    assert choose_complete(reversed(candidates), old) == decision


def test_a_planned_replacement_waits_for_one_that_may_stay():
    # One that drains would be replaced again at once.
    candidates = [answered("db-2", 7), answered("db-3", 9, may_stay=False)]
    assert choose_complete(candidates, answers(9), may_catch_up=True) == Wait(("db-2",))
    assert choose_complete(candidates, answers(9)) == Promote("db-3")


def test_without_confirmations_the_furthest_that_answers_leads():
    assert choose_furthest([answered("db-2", 9, may_stay=False), answered("db-3", 7)]) == (
        answered("db-2", 9, may_stay=False),
        True,
    )
    assert choose_furthest([answered("db-2", 9), answered("db-3", 9, may_stay=False)])[0] == (
        answered("db-2", 9)
    )
    assert choose_furthest([answered("db-2", 9), Candidate("db-3")]) == (answered("db-2", 9), True)
    assert choose_furthest([Candidate("db-2")]) == (None, True)


def test_without_confirmations_a_busy_database_is_asked_again_if_it_may_have_more():
    assert choose_furthest([answered("db-2", 9), busy("db-3", at(9))])[1]
    assert not choose_furthest([answered("db-2", 9), busy("db-3", at(8))])[1]
    assert choose_furthest([answered("db-2", 7), busy("db-3", at(8))])[1]
