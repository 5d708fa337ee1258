"""Runs both deployments as processes on loopback, with some requests through each.

Started by ``make demo``.
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

REPLICATION_SETTLE_S = 0.5


def print_result(label: str, result: QueryResult) -> None:
    """Print a result with the target and the instance that returned it."""
    print(f"  {label}: {result.rows or result.changed} by {result.target} via {result.instance}")


def check(condition: bool, failure: str) -> None:
    """Exit with a message if a result of the demo is wrong."""
    if not condition:
        sys.exit(f"demo failed: {failure}")


def run_steppe_demo(fleet: Fleet) -> None:
    """Lodge an offer, read it through another instance, and read comparables."""
    key = fleet.operator("astana-a-1").grant_key("steppe/branch-1")
    wait_for_key(fleet, "steppe/branch-1", key)
    with ExitStack() as stack:
        appraiser = stack.enter_context(
            fleet.session("astana-a-1", "pavlodar-2", workspace="steppe/branch-1", key=key)
        )
        create = "CREATE TABLE offers (plate TEXT, price INTEGER)"
        print_result("create table", appraiser.write("steppe/offers", create))
        insert = "INSERT INTO offers VALUES (?, ?)"
        lodged = appraiser.write("steppe/offers", insert, "01 KZ 777", 4_100_000)
        print_result("lodge offer", lodged)
        appraiser.roam()
        sql = "SELECT plate, price FROM offers"
        read_back = appraiser.read("steppe/offers", sql)
        print_result("read through another instance", read_back)
        check(read_back.rows == [("01 KZ 777", 4_100_000)], "the offer was not read back")
        check(read_back.instance != lodged.instance, "the session did not change the instance")
        time.sleep(REPLICATION_SETTLE_S)
        manager = stack.enter_context(
            fleet.session("karaganda-1", workspace="steppe/branch-1", key=key)
        )
        results = [manager.read("steppe/comparables", sql) for _ in range(8)]
        for result in results:
            print_result("comparables at most 2 s old", result)
            check(result.rows == read_back.rows, "comparables differ from the offers")
        by_replica = [r for r in results if r.target != lodged.target]
        check(bool(by_replica), "no read went to a replica")


def run_venue_demo(fleet: Fleet) -> None:
    """Record a hold, repeat the request, and read the calendar."""
    key = fleet.operator("bern-a-1").grant_key("venues/hall-1")
    wait_for_key(fleet, "venues/hall-1", key)
    with fleet.session("bern-a-1", "basel-c-1", workspace="venues/hall-1", key=key) as planner:
        create = "CREATE TABLE holds (day TEXT PRIMARY KEY, couple TEXT)"
        print_result("create table", planner.write("venues/holds", create))
        insert = "INSERT INTO holds VALUES (?, ?)"
        first = planner.write("venues/holds", insert, "2027-06-12", "Meier", request_id="hold-1")
        print_result("record hold", first)
        planner.roam()
        again = planner.write("venues/holds", insert, "2027-06-12", "Meier", request_id="hold-1")
        print_result("repeat through another instance", again)
        check(again.repeated and again.changed == first.changed, "the repeated request ran twice")
        calendar = planner.read("venues/calendar", "SELECT day, couple FROM holds")
        print_result("calendar", calendar)
        check(calendar.rows == [("2027-06-12", "Meier")], "the calendar does not list the hold")


def wait_for_key(fleet: Fleet, workspace: str, key: str) -> None:
    """Wait until every instance accepts a key."""
    for name in fleet.instance_addresses:
        deadline = time.monotonic() + 5
        while not accepts_key(fleet.session(name, workspace=workspace, key=key)):
            check(time.monotonic() < deadline, f"{name} does not accept the key")
            time.sleep(0.05)


def accepts_key(session: Session) -> bool:
    """Return whether an instance accepts a session's key."""
    with session:
        try:
            session.read("no/such/route", "SELECT 1")
        except Unauthenticated:
            return False
        except RouteNotFound:
            return True
    return True


def main() -> int:
    """Run the demo and return its exit code."""
    started = time.monotonic()
    for deployment, settings, run_demo in (
        (STEPPE, STEPPE_SETTINGS, run_steppe_demo),
        (HOCHZEITSRAUM, VENUE_SETTINGS, run_venue_demo),
    ):
        with Fleet(deployment, settings) as fleet:
            count = len(fleet.instance_addresses)
            print(f"{deployment.name}: {count} instances, {len(fleet.target_addresses)} targets")
            run_demo(fleet)
    print(f"done in {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
