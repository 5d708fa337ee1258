"""Choice of the database that is promoted when a primary is replaced.

Serves the seconds after a primary was lost under load: replicas are busy, draining, behind or
silent, and one that lacks acknowledged commits must not lead where a replica has confirmed them. A
database that has not answered is not one that has received nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.models import TargetId

__all__ = [
    "UNANNOUNCED",
    "Candidate",
    "Decision",
    "NothingLeft",
    "OldPrimary",
    "OldPrimaryState",
    "Promote",
    "Wait",
    "choose_complete",
    "choose_furthest",
]


# Stands for the databases that may run and are not announced: their announcements may have lapsed
# while the store was away. Parentheses keep it apart from the ids that databases announce.
UNANNOUNCED = TargetId("(unannounced)")


@dataclass(frozen=True)
class Candidate:
    """What is known of a database that may have confirmed commits of the old primary."""

    target: TargetId
    # No acknowledged commit that it has confirmed lies above; None if that is not known.
    confirmed: LogPosition | None = None
    # Position that its log has certainly reached; None if it did not answer just now.
    holds: LogPosition | None = None
    # True if it refused to say how far it has got, and may be asked again at once.
    busy: bool = False
    # False once it has left for good, or has begun again without its log.
    registered: bool = True
    # False while it drains or its data centre is evacuated: it would be replaced again.
    may_stay: bool = True
    # True if its promotion failed a moment ago.
    failed: bool = False
    # True if the record of the group names it as the successor.
    recorded: bool = False
    # True if a call for it without a known answer may still promote it.
    may_be_called: bool = False
    # Term in which it leads already, if later than that of the old primary; 0 otherwise.
    leads_term: int = 0


class OldPrimaryState(Enum):
    """What can be learnt from the primary that is replaced."""

    ANSWERS = "answers"
    # It is registered, so it may return with its log.
    SILENT = "silent"
    # It has left for good, or has begun again without its log.
    GONE = "gone"


@dataclass(frozen=True)
class OldPrimary:
    """The primary that is replaced, which no instance uses any more."""

    target: TargetId
    state: OldPrimaryState
    # Its position, told after it went out of use; no acknowledged commit lies above.
    position: LogPosition | None = None
    # False once it has stepped down, so that no replica receives anything from it.
    leads: bool = True


@dataclass(frozen=True)
class Promote:
    """Promote a database; it has all that can still be had."""

    target: TargetId


@dataclass(frozen=True)
class Wait:
    """Promote none before one of these has answered, has caught up or is gone for good."""

    targets: tuple[TargetId, ...]


@dataclass(frozen=True)
class NothingLeft:
    """No database of the group is left."""


Decision = Promote | Wait | NothingLeft


def choose_complete(
    candidates: Iterable[Candidate], old: OldPrimary, *, may_catch_up: bool = False
) -> Decision:
    """Choose a database that has every acknowledged commit.

    For groups whose commits are acknowledged only once a replica has received them.

    Parameters
    ----------
    candidates : iterable of Candidate
        All databases but the old primary that may have confirmed a commit, those that are gone too.
    old : OldPrimary
        The primary that is replaced.
    may_catch_up : bool
        True while there is time for one that may stay to receive the whole log.

    Returns
    -------
    Decision
        ``Wait`` ends with an answer, a return, or a database that is gone for good.

    Examples
    --------
    >>> old = OldPrimary("db-1", OldPrimaryState.SILENT)
    >>> behind = Candidate("db-2", LogPosition(1, 7), LogPosition(1, 7))
    >>> choose_complete([behind, Candidate("db-3")], old)
    Wait(targets=('db-3',))
    >>> ahead = Candidate("db-3", LogPosition(1, 9), LogPosition(1, 9))
    >>> choose_complete([behind, ahead], old)
    Promote(target='db-3')
    """
    found = list(candidates)
    leader = max(found, key=lambda each: each.leads_term, default=None)
    if leader is not None and leader.leads_term:
        return Promote(leader.target)
    complete = [each for each in found if _is_complete(each, found, old.position)]
    if may_catch_up and old.position is not None and not any(each.may_stay for each in complete):
        behind = tuple(each.target for each in found if each.registered and each.may_stay)
        if behind:
            return Wait(behind)
    called = next((each for each in found if each.may_be_called and each.registered), None)
    if called is not None and called not in complete and not _has_told(called):
        return Wait((called.target,))
    if complete:
        return Promote(max(complete, key=_preference).target)
    return _choose_incomplete(found, old)


def _choose_incomplete(found: list[Candidate], old: OldPrimary) -> Decision:
    """Choose while no database is known to have every acknowledged commit."""
    best = _furthest(found)
    ahead = [each for each in found if each is not best and not _reaches(best, each)]
    unheard = tuple(each.target for each in ahead if each.registered)
    if unheard:
        return Wait(unheard)
    # Only the old primary has what those that are gone had confirmed.
    match old.state:
        case OldPrimaryState.ANSWERS if best is None or not old.leads:
            return Promote(old.target)
        case OldPrimaryState.GONE:
            return NothingLeft() if best is None else Promote(best.target)
        case _:
            return Wait((old.target,))


def choose_furthest(candidates: Iterable[Candidate]) -> tuple[Candidate | None, bool]:
    """Choose the database that has received most, of those that answer.

    For groups whose commits are acknowledged without a replica.

    Returns
    -------
    tuple of Candidate and bool
        The database, or None; and whether it is certain that none that answers has more.
    """
    found = list(candidates)
    best = _furthest(found)
    is_certain = all(each is best or not each.busy or _reaches(best, each) for each in found)
    return best, is_certain


def _is_complete(candidate: Candidate, found: list[Candidate], final: LogPosition | None) -> bool:
    if candidate.holds is None:
        return False
    if final is not None and candidate.holds >= final:
        return True
    return all(each is candidate or _reaches(candidate, each) for each in found)


def _has_told(candidate: Candidate) -> bool:
    """Return whether a database has just answered how far it has got.

    One that answers and lacks commits is not waited for, though a late call may promote it: another
    one that leads before that gives it the log, and waiting does not.
    """
    return candidate.holds is not None and candidate.confirmed is not None


def _reaches(candidate: Candidate | None, other: Candidate) -> bool:
    """Return whether a database has all that another one may have confirmed."""
    if candidate is None or candidate.holds is None or other.confirmed is None:
        return False
    return candidate.holds >= other.confirmed


def _furthest(found: list[Candidate]) -> Candidate | None:
    answering = [each for each in found if each.holds is not None]
    return max(answering, key=lambda each: (each.holds, *_preference(each)), default=None)


def _preference(candidate: Candidate) -> tuple[bool, bool, bool, bool, LogPosition, TargetId]:
    """Return the order of databases that are equally complete.

    One for which a call may have been made goes before all others, which that call would depose. Of
    equals, the one that the record names is kept, whoever chose it: the record may have been
    written late, without an answer.
    """
    return (
        candidate.may_be_called,
        candidate.may_stay,
        not candidate.failed,
        candidate.recorded,
        candidate.holds,
        candidate.target,
    )
