"""Connections of one instance to a database that accepts only a few."""

from result import Err, Ok

from quetzalrudder.exceptions import ConnectionLimitReached
from quetzalrudder.gateway.connections import GatewayPool
from quetzalrudder.gateway.targets import Target, TargetRole
from quetzalrudder.gateway.wait_queue import Urgency
from quetzalrudder.utils import Address
from tests.clocks import ManualClock

TARGET = Target("db-1", "g", Address("10.0.0.1", 1), "dc-0", 2, TargetRole.PRIMARY)
# How long a database keeps the connections of a machine that lost its power.
DARK_S = 3.0


class FullDatabase:
    """Refuses connections until those of a lost machine are dropped."""

    def __init__(self, clock):
        self.clock = clock
        self.accepts_from = clock.now + DARK_S
        self.tries = 0

    def connect(self, target, workspace, timeout_s):
        self.tries += 1
        self.clock.advance(0.002)
        if self.clock.now < self.accepts_from:
            return Err(ConnectionLimitReached("too many connections", place=target.target))
        return Ok(Link())


class Link:
    broken = False

    def close(self):
        """Do nothing."""


def test_a_full_database_is_asked_for_connections_less_and_less_often():
    """After a loss of power, each try costs the database time while callers return."""
    clock = ManualClock()
    database = FullDatabase(clock)
    pool = GatewayPool(database, lambda target: 2, clock)
    started = clock.now
    result = pool.checkout(TARGET, "almaty", Urgency(1, 1, clock.now), clock.now + 10)
    assert result.is_ok()
    assert database.tries <= 15
    assert clock.now - started <= DARK_S + 0.4


def test_after_the_first_connection_the_delay_starts_again():
    clock = ManualClock()
    database = FullDatabase(clock)
    pool = GatewayPool(database, lambda target: 2, clock)
    first = pool.checkout(TARGET, "almaty", Urgency(1, 1, clock.now), clock.now + 10).ok_value
    database.accepts_from = clock.now + 0.1
    started = clock.now
    assert pool.checkout(TARGET, "almaty", Urgency(1, 1, clock.now), clock.now + 1).is_ok()
    assert clock.now - started <= 0.2
    first.release()
