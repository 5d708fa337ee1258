"""The log's way from a stand-in primary to its followers, with adjustable lag."""

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

RECONNECT_S = 0.05
HEARTBEAT_S = 0.5


def make_replicate_request(target: "TargetState", term: int) -> ReplicateRequest:
    """Ask the primary of a term for what the target's log lacks."""
    return ReplicateRequest(
        target=target.cfg.target,
        data_centre=target.cfg.data_centre,
        last=target.database.received,
        term=term,
        term_starts=target.database.term_starts(),
    )


def first_batch(primary: "TargetState", req: ReplicateRequest) -> LogBatch:
    """Say how much of the follower's log stays, and give all that it lacks."""
    keep = primary.database.common_index(req.last, req.term_starts)
    return LogBatch(term=primary.term, keep_index=keep, entries=primary.database.entries[keep:])


def append_batch(target: "TargetState", term: int, batch: LogBatch) -> bool:
    """Take over a batch of the primary of a term; false if the target left the term.

    The first batch holds all that the primary had when it was asked, so a target that
    started without its log holds again what it may have confirmed before.
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
    """Sends the log to followers while this target is the primary of the term."""

    def __init__(self, target: "TargetState") -> None:
        self._target = target

    async def replicate(self, message: ReplicateRequest) -> AsyncIterator[LogBatch]:
        """Send what the follower lacks, then each new entry."""
        target = self._target
        await target.faults.wait_while_blocked(message.data_centre)
        if not target.accepts_writes(message.term):
            return
        batch = first_batch(target, message)
        sent = batch.keep_index + len(batch.entries)
        yield batch
        while target.accepts_writes(message.term):
            entries = target.database.entries[sent:]
            if entries:
                await target.faults.wait_while_blocked(message.data_centre)
                yield LogBatch(term=target.term, entries=entries)
                sent += len(entries)
            async with target.changed:
                with contextlib.suppress(TimeoutError):
                    if len(target.database.entries) == sent:
                        await asyncio.wait_for(target.changed.wait(), HEARTBEAT_S)


class Follower:
    """Takes the log from a primary and applies it after the lag."""

    def __init__(self, target: "TargetState", primary: str, address: str, term: int) -> None:
        self.primary = primary
        self._target = target
        self._address = parse_address(address)
        self._term = term
        # When each received but not applied entry came, in seconds.
        self._arrivals: deque[float] = deque()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start receiving and applying."""
        self._tasks = [
            asyncio.ensure_future(self._receive_for_ever()),
            asyncio.ensure_future(self._apply_for_ever()),
        ]

    def stop(self) -> None:
        """Take nothing more."""
        for task in self._tasks:
            task.cancel()

    async def _receive_for_ever(self) -> None:
        while True:
            try:
                await self._receive()
            except (OSError, GRPCError, StreamTerminatedError, QuetzalrudderError) as exc:
                log.debug("replication broke: %s", exc)
            await asyncio.sleep(RECONNECT_S)

    async def _receive(self) -> None:
        target = self._target
        req = make_replicate_request(target, self._term)
        channel = Channel(self._address.host, self._address.port)
        try:
            metadata = {"data-centre": target.cfg.data_centre}
            async for batch in ReplicationStub(channel).replicate(req, metadata=metadata):
                await asyncio.sleep(target.faults.active.receive_lag_ms / 1000)
                await self._take(batch)
        finally:
            channel.close()

    async def _take(self, batch: LogBatch) -> None:
        target = self._target
        if not append_batch(target, self._term, batch):
            return
        waiting = len(target.database.entries) - target.database.applied_index
        if batch.keep_index is not None:
            self._arrivals.clear()
        while len(self._arrivals) < waiting:
            self._arrivals.append(time.monotonic())
        await target.notify()

    async def _apply_for_ever(self) -> None:
        target = self._target
        while True:
            lag_s = target.faults.active.apply_lag_ms / 1000
            while self._arrivals and self._arrivals[0] + lag_s <= time.monotonic():
                self._arrivals.popleft()
                target.database.apply_next()
            await self._wait(lag_s)

    async def _wait(self, lag_s: float) -> None:
        if self._arrivals:
            await asyncio.sleep(max(0.001, self._arrivals[0] + lag_s - time.monotonic()))
            return
        async with self._target.changed:
            with contextlib.suppress(TimeoutError):
                if not self._arrivals:
                    await asyncio.wait_for(self._target.changed.wait(), HEARTBEAT_S)
