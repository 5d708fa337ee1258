"""Interfaces to targets and the platform, and their gRPC adapters.

Routing and failover decisions use the interfaces only, so that another database driver or
platform can be supported by writing another adapter.
"""

import threading
from concurrent.futures import CancelledError, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Any, Protocol

from grpclib import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err, Ok, Result

from quetzalrudder.bridge import Loop
from quetzalrudder.exceptions import (
    LinkLost,
    OutcomeUnknown,
    PlatformUnavailable,
    QuetzalrudderError,
    TargetUnavailable,
    TruncatedAnswer,
    from_failure,
)
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.schema.platform import (
    Entries,
    Entry,
    GetRequest,
    GrantLeaseRequest,
    Groups,
    GroupsRequest,
    Instances,
    InstancesRequest,
    Lease,
    LeaseRequest,
    ListRequest,
    PlatformStub,
    PutAnswer,
    PutRequest,
    WatchRequest,
)
from quetzalrudder.schema.target import (
    AskOutcome,
    Begin,
    Commit,
    Confirm,
    Execute,
    Fence,
    Follow,
    Open,
    Probe,
    Promote,
    Rollback,
    TargetAnswer,
    TargetFrame,
    TargetStub,
)
from quetzalrudder.streams import RequestStream, call_once
from quetzalrudder.utils import MS_PER_S, Address, field_by_type

__all__ = [
    "GrpcPlatform",
    "GrpcTargetConn",
    "Platform",
    "TargetConn",
    "TargetInfo",
    "TargetRequest",
    "open_grpc_target",
]

TargetRequest = (
    Open
    | Execute
    | Begin
    | Commit
    | Rollback
    | AskOutcome
    | Probe
    | Confirm
    | Fence
    | Promote
    | Follow
)

FIELD_BY_TYPE = field_by_type(TargetFrame)
# A thread waits longer for a call's result than the call's own timeout, so that the call
# ends first and reports its own error.
RESULT_WAIT_MARGIN_S = 2.0


@dataclass(frozen=True)
class TargetInfo:
    """Name, group, data centre and address of a target."""

    target: TargetId
    group: GroupId
    data_centre: DataCentre
    address: Address


class TargetConn(Protocol):
    """One connection to a target."""

    @property
    def broken(self) -> bool:
        """Whether the connection must not be used again.

        Its stream has ended, or an answer is missing or incomplete.
        """

    def start(self, req: TargetRequest) -> "Future[TargetAnswer]":
        """Send a request and return a future for the unchecked answer."""

    def request(
        self, req: TargetRequest, timeout_s: float
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        """Send a request and wait for its complete answer."""

    def close(self) -> None:
        """Close the connection; the target rolls back its open transaction."""

    def close_and_wait(self, timeout_s: float) -> bool:
        """Close the connection; return whether the target confirmed it in time."""


class Platform(Protocol):
    """The platform's key-value store and lists.

    Any call may fail, also after it has taken effect.
    """

    def get(self, key: str) -> Result[Entry, QuetzalrudderError]:
        """Read one key; version 0 means that it does not exist."""

    def list_entries(self, prefix: str) -> Result[Entries, QuetzalrudderError]:
        """Read all keys with a prefix."""

    def put(self, req: PutRequest) -> Result[PutAnswer, QuetzalrudderError]:
        """Write or delete one key if it has the expected version."""

    def watch(self, req: WatchRequest) -> Result[Entries, QuetzalrudderError]:
        """Wait for a change under a prefix; an empty answer means that the wait timed out."""

    def grant_lease(self, ttl_ms: int) -> Result[Lease, QuetzalrudderError]:
        """Create a lease."""

    def keep_alive(self, lease_id: int) -> Result[Lease, QuetzalrudderError]:
        """Renew a lease; ``held`` is false if it has expired."""

    def revoke(self, lease_id: int) -> Result[Lease, QuetzalrudderError]:
        """Revoke a lease."""

    def list_groups(self, known_tag: bytes = b"") -> Result[Groups, QuetzalrudderError]:
        """Read the list of database groups; empty if ``known_tag`` is current."""

    def list_instances(self, known_tag: bytes = b"") -> Result[Instances, QuetzalrudderError]:
        """Read the list of instances, which may lag; empty if ``known_tag`` is current."""


class GrpcTargetConn:
    """A target connection over one bidirectional gRPC stream.

    Answers are matched to requests by sequence number and generation; an answer that
    matches no waiting request is dropped.
    """

    def __init__(self, loop: Loop, info: TargetInfo, generation: int) -> None:
        self._info = info
        self._generation = generation
        self._unusable = False
        self._stream: RequestStream[TargetFrame, TargetAnswer] = RequestStream(
            loop,
            info.address,
            lambda channel, frames: TargetStub(channel).connect(frames),
            lambda answer: answer.generation == generation,
        )

    @property
    def broken(self) -> bool:
        """Whether the connection must not be used again."""
        return self._unusable or self._stream.ended

    def start(self, req: TargetRequest) -> "Future[TargetAnswer]":
        """Send a request and return a future for the unchecked answer.

        The future fails with ``LinkLost`` if the connection is lost first.

        Raises
        ------
        TargetUnavailable
            The stream has ended; nothing was sent.
        """
        frame = TargetFrame(generation=self._generation)
        setattr(frame, FIELD_BY_TYPE[type(req)], req)
        return self._stream.start(frame)

    def request(
        self, req: TargetRequest, timeout_s: float
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        """Send a request and wait for its complete answer.

        Parameters
        ----------
        req : TargetRequest
            The request.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        Result[TargetAnswer, QuetzalrudderError]
            The answer, or an error. ``TargetUnavailable`` means that nothing was sent.
        """
        try:
            fut = self.start(req)
        except TargetUnavailable as exc:
            return Err(TargetUnavailable(exc.message, place=self._info.target))
        try:
            answer = fut.result(timeout_s)
        except FutureTimeoutError:
            self._stream.discard(fut)
            self._unusable = True
            return Err(
                OutcomeUnknown("timed out waiting for the target's answer", place=self._info.target)
            )
        except LinkLost as exc:
            return Err(LinkLost(exc.message, place=self._info.target))
        return self._check_answer(answer)

    def _check_answer(self, answer: TargetAnswer) -> Result[TargetAnswer, QuetzalrudderError]:
        if answer.failure is not None:
            return Err(from_failure(answer.failure))
        rows = len(answer.rows.rows) if answer.rows is not None else 0
        if rows != answer.row_count:
            self._unusable = True
            reason = f"received {rows} of {answer.row_count} rows"
            return Err(TruncatedAnswer(reason, place=self._info.target))
        return Ok(answer)

    def close(self) -> None:
        """Close the connection; the target rolls back its open transaction."""
        self._stream.close()

    def close_and_wait(self, timeout_s: float) -> bool:
        """Close the connection; return whether the target confirmed it in time."""
        return self._stream.close_and_wait(timeout_s)


def open_grpc_target(
    loop: Loop, info: TargetInfo, opening: Open, generation: int, timeout_s: float
) -> Result[GrpcTargetConn, QuetzalrudderError]:
    """Open a connection to a target.

    Parameters
    ----------
    loop : Loop
        The loop that owns the socket.
    info : TargetInfo
        The target.
    opening : Open
        First frame, which names the connecting instance and the kind of connection.
    generation : int
        Number that identifies the answers of this connection.
    timeout_s : float
        Longest wait, in seconds.

    Returns
    -------
    Result[GrpcTargetConn, QuetzalrudderError]
        The open connection, or the error that prevented it.
    """
    conn = GrpcTargetConn(loop, info, generation)
    answer = conn.request(opening, timeout_s)
    if isinstance(answer, Err):
        conn.close()
        exc = answer.err_value
        if isinstance(exc, LinkLost | OutcomeUnknown):
            exc = TargetUnavailable(exc.message, place=info.target)
        return Err(exc)
    return Ok(conn)


class GrpcPlatform:
    """The platform over unary gRPC calls.

    Parameters
    ----------
    loop : Loop
        The loop that owns the sockets.
    address : Address
        Address of the platform.
    instance, data_centre
        Name and data centre of this instance, sent as metadata of every call.
    timeout_s : float
        Longest wait for one call, in seconds.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        instance: InstanceId,
        data_centre: DataCentre,
        timeout_s: float = 1.0,
    ) -> None:
        self._loop = loop
        self._address = address
        self._metadata = {"instance": str(instance), "data-centre": str(data_centre)}
        self._timeout_s = timeout_s
        self._closed = threading.Event()
        self._calls: set[Future[Any]] = set()

    def _call(self, method: str, req: Any, extra_s: float = 0.0) -> Result[Any, QuetzalrudderError]:
        if self._closed.is_set():
            return Err(PlatformUnavailable("platform client is closed", place=str(self._address)))
        timeout_s = self._timeout_s + extra_s

        async def call(channel: Any) -> Any:
            return await getattr(PlatformStub(channel), method)(req, metadata=self._metadata)

        fut = self._loop.start(call_once(self._address, call, timeout_s=timeout_s))
        self._calls.add(fut)
        try:
            return Ok(fut.result(timeout_s + RESULT_WAIT_MARGIN_S))
        except (OSError, GRPCError, StreamTerminatedError, CancelledError) as exc:
            reason = str(exc) or type(exc).__name__
            return Err(PlatformUnavailable(reason, place=str(self._address)))
        except QuetzalrudderError as exc:
            return Err(exc)
        finally:
            self._calls.discard(fut)

    def close(self) -> None:
        """Cancel all calls in progress; later calls fail immediately."""
        self._closed.set()
        for fut in list(self._calls):
            fut.cancel()

    def get(self, key: str) -> Result[Entry, QuetzalrudderError]:
        """Read one key; version 0 means that it does not exist."""
        return self._call("get", GetRequest(key=key))

    def list_entries(self, prefix: str) -> Result[Entries, QuetzalrudderError]:
        """Read all keys with a prefix."""
        return self._call("list", ListRequest(prefix=prefix))

    def put(self, req: PutRequest) -> Result[PutAnswer, QuetzalrudderError]:
        """Write or delete one key if it has the expected version."""
        return self._call("put", req)

    def watch(self, req: WatchRequest) -> Result[Entries, QuetzalrudderError]:
        """Wait for a change under a prefix; an empty answer means that the wait timed out."""
        return self._call("watch", req, extra_s=req.timeout_ms / MS_PER_S)

    def grant_lease(self, ttl_ms: int) -> Result[Lease, QuetzalrudderError]:
        """Create a lease."""
        return self._call("grant_lease", GrantLeaseRequest(ttl_ms=ttl_ms))

    def keep_alive(self, lease_id: int) -> Result[Lease, QuetzalrudderError]:
        """Renew a lease; ``held`` is false if it has expired."""
        return self._call("keep_alive", LeaseRequest(lease_id=lease_id))

    def revoke(self, lease_id: int) -> Result[Lease, QuetzalrudderError]:
        """Revoke a lease."""
        return self._call("revoke", LeaseRequest(lease_id=lease_id))

    def list_groups(self, known_tag: bytes = b"") -> Result[Groups, QuetzalrudderError]:
        """Read the list of database groups; empty if ``known_tag`` is current."""
        return self._call("list_groups", GroupsRequest(known_tag=known_tag))

    def list_instances(self, known_tag: bytes = b"") -> Result[Instances, QuetzalrudderError]:
        """Read the list of instances, which may lag; empty if ``known_tag`` is current."""
        return self._call("list_instances", InstancesRequest(known_tag=known_tag))
