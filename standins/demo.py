"""Both deployments as processes on loopback, and a day's work through them.

Run by ``make demo``.
"""

import sys
import time
from contextlib import ExitStack

from quetzalrudder.exceptions import RouteNotFound, Unauthenticated
from quetzalrudder.sessions import QueryResult, Session
from standins.deployments import HOCHZEITSRAUM, STEPPE
from standins.fleet import Fleet

STEPPE_SETTINGS = """
[root]
deadline_ms = 4000

[branch steppe]
group = valuation-core-1

[route steppe/offers]

[route steppe/bookings]
group = valuation-core-2

[route steppe/comparables]
max_age_ms = 2000

[workspace steppe/branch-1]
rate_per_s = 200

[workspace steppe/branch-2]
"""

VENUE_SETTINGS = """
[root]
deadline_ms = 4000

[branch venues]
group = venue-ledger-1

[route venues/holds]

[route venues/calendar]
max_age_ms = 3000

[workspace venues/hall-1]
"""

AGE_SETTLE_S = 0.5


def show(what: str, result: QueryResult) -> None:
    """Print one answer and who gave it."""
    print(f"  {what}: {result.rows or result.changed} by {result.target} via {result.instance}")


def check(condition: bool, what: str) -> None:
    """Stop the demo if it does not show what it should."""
    if not condition:
        sys.exit(f"demo failed: {what}")


def run_steppe_demo(fleet: Fleet) -> None:
    """Lodge an offer, read it through another instance, quote a comparable."""
    key = fleet.operator("astana-a-1").grant_key("steppe/branch-1")
    wait_for_key(fleet, "steppe/branch-1", key)
    with ExitStack() as stack:
        appraiser = stack.enter_context(
            fleet.session("astana-a-1", "pavlodar-2", workspace="steppe/branch-1", key=key)
        )
        create = "CREATE TABLE offers (plate TEXT, price INTEGER)"
        show("create table", appraiser.write("steppe/offers", create))
        insert = "INSERT INTO offers VALUES (?, ?)"
        lodged = appraiser.write("steppe/offers", insert, "01 KZ 777", 4_100_000)
        show("lodge offer", lodged)
        appraiser.roam()
        sql = "SELECT plate, price FROM offers"
        seen = appraiser.read("steppe/offers", sql)
        show("read it elsewhere", seen)
        check(seen.rows == [("01 KZ 777", 4_100_000)], "the offer was not read back")
        check(seen.instance != lodged.instance, "the session did not roam")
        time.sleep(AGE_SETTLE_S)
        manager = stack.enter_context(
            fleet.session("karaganda-1", workspace="steppe/branch-1", key=key)
        )
        results = [manager.read("steppe/comparables", sql) for _ in range(8)]
        for result in results:
            show("comparables of at most 2 s", result)
            check(result.rows == seen.rows, "comparables differ")
        by_replica = [r for r in results if r.target != lodged.target]
        check(bool(by_replica), "no read went to a replica")


def run_venue_demo(fleet: Fleet) -> None:
    """Record a hold and show the calendar."""
    key = fleet.operator("bern-a-1").grant_key("venues/hall-1")
    wait_for_key(fleet, "venues/hall-1", key)
    with fleet.session("bern-a-1", "basel-c-1", workspace="venues/hall-1", key=key) as planner:
        create = "CREATE TABLE holds (day TEXT PRIMARY KEY, couple TEXT)"
        show("create table", planner.write("venues/holds", create))
        insert = "INSERT INTO holds VALUES (?, ?)"
        first = planner.write("venues/holds", insert, "2027-06-12", "Meier", request_id="hold-1")
        show("record hold", first)
        planner.roam()
        again = planner.write("venues/holds", insert, "2027-06-12", "Meier", request_id="hold-1")
        show("repeat it elsewhere", again)
        check(again.repeated and again.changed == first.changed, "the repeat ran again")
        calendar = planner.read("venues/calendar", "SELECT day, couple FROM holds")
        show("calendar", calendar)
        check(calendar.rows == [("2027-06-12", "Meier")], "the calendar is wrong")


def wait_for_key(fleet: Fleet, workspace: str, key: str) -> None:
    """Wait until every instance accepts a key."""
    for name in fleet.instance_addresses:
        deadline = time.monotonic() + 5
        while not accepts(fleet.session(name, workspace=workspace, key=key)):
            check(time.monotonic() < deadline, f"{name} does not take the key")
            time.sleep(0.05)


def accepts(session: Session) -> bool:
    """Tell whether an instance accepts a session's key."""
    with session:
        try:
            session.read("no/such/route", "SELECT 1")
        except Unauthenticated:
            return False
        except RouteNotFound:
            return True
    return True


def main() -> int:
    """Run the demo; 0 if everything was as it should be."""
    started = time.monotonic()
    for deployment, settings, work in (
        (STEPPE, STEPPE_SETTINGS, run_steppe_demo),
        (HOCHZEITSRAUM, VENUE_SETTINGS, run_venue_demo),
    ):
        with Fleet(deployment, settings) as fleet:
            count = len(fleet.instance_addresses)
            print(f"{deployment.name}: {count} instances, {len(fleet.target_addresses)} targets")
            work(fleet)
    print(f"done in {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
