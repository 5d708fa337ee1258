"""Shared by both stand-ins: serving on a port, faults, call counts, recorded bytes."""

import asyncio
import signal
from collections import Counter
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from grpclib._typing import IServable
from grpclib.events import RecvRequest, listen
from grpclib.server import Server

from quetzalrudder.codec import CheckedCodec
from quetzalrudder.schema.standin import (
    CallCount,
    Done,
    Faults,
    Lists,
    Received,
    ReceivedRequest,
    StandInBase,
    Statistics,
    StatisticsRequest,
)
from quetzalrudder.utils import parse_address

CUT_POLL_INTERVAL_S = 0.02

caller_data_centre: ContextVar[str] = ContextVar("caller_data_centre", default="")
CONTROL_SERVICE = "/standin.StandIn/"
MAX_RECEIVED_BYTES = 16 * 1024 * 1024


class RecordingCodec(CheckedCodec):
    """Records the bytes of received messages, so that tests can search them."""

    def __init__(self) -> None:
        self.received = bytearray()

    def decode(self, data: bytes, message_type: type) -> Any:
        """Record and decode a message."""
        if len(self.received) + len(data) <= MAX_RECEIVED_BYTES:
            self.received += data
        return super().decode(data, message_type)


class FaultState:
    """The active faults of a stand-in."""

    def __init__(self) -> None:
        self.active = Faults(
            down=False,
            delay_ms=0,
            lose_answers=0,
            truncate_answers=0,
            apply_lag_ms=0,
            receive_lag_ms=0,
            watches_broken=False,
            leaving=False,
        )

    def update(self, faults: Faults) -> None:
        """Apply the fields that are set; the others keep their values."""
        for name in (
            "down",
            "delay_ms",
            "lose_answers",
            "truncate_answers",
            "apply_lag_ms",
            "receive_lag_ms",
            "watches_broken",
            "leaving",
        ):
            value = getattr(faults, name)
            if value is not None:
                setattr(self.active, name, value)
        if faults.set_cut:
            self.active.cut_from = list(faults.cut_from)

    def consume(self, name: str) -> bool:
        """Decrement the counter of a fault; return False if it is zero."""
        remaining = getattr(self.active, name)
        if not remaining:
            return False
        setattr(self.active, name, remaining - 1)
        return True

    def is_cut(self, data_centre: str) -> bool:
        """Return whether this process is cut off from a data centre."""
        return data_centre in self.active.cut_from

    async def wait_while_blocked(self, data_centre: str) -> None:
        """Wait while this process is down or cut off from a data centre, then for the delay."""
        while self.active.down or self.is_cut(data_centre):
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
        if self.active.delay_ms:
            await asyncio.sleep(self.active.delay_ms / 1000)


class StandInControl(StandInBase):
    """Sets faults and returns counters and recorded bytes."""

    def __init__(
        self,
        faults: FaultState,
        codec: RecordingCodec,
        count_statements: Callable[[], int] = lambda: 0,
    ) -> None:
        self.faults = faults
        self.codec = codec
        self.calls: Counter[str] = Counter()
        self._count_statements = count_statements

    async def set_faults(self, message: Faults) -> Done:
        """Set the faults that the message names."""
        self.faults.update(message)
        return Done()

    async def set_lists(self, message: Lists) -> Done:
        """Ignore the lists; only the platform has any."""
        return Done()

    async def read_statistics(self, message: StatisticsRequest) -> Statistics:
        """Return the counters."""
        by_method = [CallCount(method=m, calls=n) for m, n in sorted(self.calls.items())]
        total = sum(self.calls.values())
        return Statistics(calls=total, by_method=by_method, statements=self._count_statements())

    async def read_received(self, message: ReceivedRequest) -> Received:
        """Return every byte received."""
        return Received(data=bytes(self.codec.received))


async def serve(address: str, services: list[IServable], control: StandInControl) -> None:
    """Serve on an address until SIGTERM."""
    parsed = parse_address(address)
    server = Server([*services, control], codec=control.codec)

    async def on_request(event: RecvRequest) -> None:
        if event.method_name.startswith(CONTROL_SERVICE):
            return
        control.calls[event.method_name.rpartition("/")[2]] += 1
        data_centre = str(event.metadata.get("data-centre", ""))
        caller_data_centre.set(data_centre)
        await control.faults.wait_while_blocked(data_centre)

    listen(server, RecvRequest, on_request)
    await server.start(parsed.host, parsed.port)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    server.close()
