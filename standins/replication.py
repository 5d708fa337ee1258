"""Log replication from a stand-in primary to its followers, with adjustable lag."""

import asyncio
import contextlib
import logging
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.schema.standin import (
    LogBatch,
    ReplicateRequest,
    ReplicationBase,
    ReplicationStub,
)
from quetzalrudder.schema.target import Role
from quetzalrudder.utils import parse_address

if TYPE_CHECKING:
    from standins.target import TargetState

log = logging.getLogger(__name__)

RECONNECT_DELAY_S = 0.05
# Longest wait for a change before the state is checked again.
CHANGE_WAIT_S = 0.5


def make_replicate_request(target: "TargetState", term: int) -> ReplicateRequest:
    """Return the request to the primary of a term for the entries missing in the target's log."""
    return ReplicateRequest(
        target=target.cfg.target,
        data_centre=target.cfg.data_centre,
        last=target.database.received,
        term=term,
        term_starts=target.database.term_starts(),
    )


def first_batch(primary: "TargetState", req: ReplicateRequest) -> LogBatch:
    """Return the first batch: the common index of both logs and all entries after it."""
    common = primary.database.common_index(req.last, req.term_starts)
    return LogBatch(term=primary.term, keep_index=common, entries=primary.database.entries[common:])


def append_batch(target: "TargetState", term: int, batch: LogBatch) -> bool:
    """Append a batch from the primary of a term; return False if the target left the term.

    The first batch brings the target up to the primary's log as of the request. A target
    that started without its log then has every entry again that it may have confirmed
    before.
    """
    if target.term != term or target.role is not Role.REPLICA:
        return False
    if batch.keep_index is not None:
        target.database.truncate(batch.keep_index)
        target.rejoining = False
    for entry in batch.entries:
        target.database.receive(entry)
    return True


class ReplicationService(ReplicationBase):
    """Sends the log to followers while this target is the primary of their term."""

    def __init__(self, target: "TargetState") -> None:
        self._target = target

    async def replicate(self, message: ReplicateRequest) -> AsyncIterator[LogBatch]:
        """Send the entries missing in the follower's log, then each new entry."""
        target = self._target
        await target.faults.wait_while_blocked(message.data_centre)
        if not target.accepts_writes(message.term):
            return
        batch = first_batch(target, message)
        next_index = batch.keep_index + len(batch.entries)
        yield batch
        while target.accepts_writes(message.term):
            entries = target.database.entries[next_index:]
            if entries:
                await target.faults.wait_while_blocked(message.data_centre)
                yield LogBatch(term=target.term, entries=entries)
                next_index += len(entries)
            async with target.changed:
                with contextlib.suppress(TimeoutError):
                    if len(target.database.entries) == next_index:
                        await asyncio.wait_for(target.changed.wait(), CHANGE_WAIT_S)


class Follower:
    """Receives the log from a primary and applies each entry after the lag."""

    def __init__(self, target: "TargetState", primary: str, address: str, term: int) -> None:
        self.primary = primary
        self._target = target
        self._address = parse_address(address)
        self._term = term
        # Clock reading at which each entry not yet applied was received, in seconds.
        self._arrivals: deque[float] = deque()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start receiving and applying."""
        self._tasks = [
            asyncio.ensure_future(self._receive_loop()),
            asyncio.ensure_future(self._apply_loop()),
        ]

    def stop(self) -> None:
        """Stop receiving and applying."""
        for task in self._tasks:
            task.cancel()

    async def _receive_loop(self) -> None:
        while True:
            try:
                await self._receive()
            except (OSError, GRPCError, StreamTerminatedError, QuetzalrudderError) as exc:
                log.debug("replication from the primary failed: %s", exc)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _receive(self) -> None:
        target = self._target
        req = make_replicate_request(target, self._term)
        channel = Channel(self._address.host, self._address.port)
        try:
            metadata = {"data-centre": target.cfg.data_centre}
            async for batch in ReplicationStub(channel).replicate(req, metadata=metadata):
                await asyncio.sleep(target.faults.active.receive_lag_ms / 1000)
                await self._append(batch)
        finally:
            channel.close()

    async def _append(self, batch: LogBatch) -> None:
        target = self._target
        if not append_batch(target, self._term, batch):
            return
        unapplied = len(target.database.entries) - target.database.applied_index
        if batch.keep_index is not None:
            self._arrivals.clear()
        while len(self._arrivals) < unapplied:
            self._arrivals.append(time.monotonic())
        await target.notify()

    async def _apply_loop(self) -> None:
        target = self._target
        while True:
            lag_s = target.faults.active.apply_lag_ms / 1000
            while self._arrivals and self._arrivals[0] + lag_s <= time.monotonic():
                self._arrivals.popleft()
                target.database.apply_next()
            await self._wait_until_due(lag_s)

    async def _wait_until_due(self, lag_s: float) -> None:
        if self._arrivals:
            await asyncio.sleep(max(0.001, self._arrivals[0] + lag_s - time.monotonic()))
            return
        async with self._target.changed:
            with contextlib.suppress(TimeoutError):
                if not self._arrivals:
                    await asyncio.wait_for(self._target.changed.wait(), CHANGE_WAIT_S)
