"""The last changes of the store, kept by an instance that watches it for others.

Serves large fleets, in which a watch of the store by every instance costs a call of each
instance for every change. A few instances watch, and the others wait for changes at them.
A waiting request holds no thread: the change itself, or the end of the wait, answers it.
"""

import math
import threading
from collections import deque
from collections.abc import Callable, Iterable

from quetzalrudder.gateway.store import Item
from quetzalrudder.schema.gateway import ChangesReply, ChangesRequest, RelayState, StoreChange
from quetzalrudder.utils import MAX_MESSAGE_BYTES, MS_PER_S, Clock

__all__ = ["MAX_AGE_MS", "ChangeLog"]

# An instance that starts writes three changes; this many cover two starts of a fleet of 300.
MAX_CHANGES = 2000
# Keys and values together: a reply with all of them fits into one message to another instance.
MAX_CHANGES_BYTES = MAX_MESSAGE_BYTES // 2
# Requests that wait at the same time; further ones are answered at once.
MAX_WAITING = 1000
# The highest age that a reply tells; also that of a log that the store has not confirmed yet.
MAX_AGE_MS = 2**31

Deliver = Callable[[ChangesReply], None]


class ChangeLog:
    """Answers requests for the changes after a revision.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._state = RelayState.NOT_WATCHING
        self._changes: deque[Item] = deque()
        self._size_bytes = 0
        # The log has every change after this revision, up to the other one.
        self._complete_after = 0
        self._revision = 0
        # When the store last confirmed that the log has every change.
        self._confirmed_at = -math.inf
        # Requests that wait, by a number of their own, with the function for the reply.
        self._waiting: dict[int, tuple[int, Deliver]] = {}
        self._request_count = 0

    @property
    def revision(self) -> int:
        """The revision up to which the log has the changes."""
        return self._revision

    @property
    def is_watching(self) -> bool:
        """True while this instance watches the store by itself and reaches it."""
        return self._state is RelayState.WATCHING

    def restart(self, revision: int, age_s: float = 0.0) -> None:
        """Begin at the revision that the store had some seconds ago, at the latest full read."""
        with self._lock:
            self._changes.clear()
            self._size_bytes = 0
            self._complete_after = self._revision = revision
        self._confirm(age_s)

    def append(self, items: Iterable[Item], revision: int, age_s: float = 0.0) -> None:
        """Add the answer that the store gave to a watch some seconds ago.

        An empty one confirms that nothing had changed by then.
        """
        self.append_relayed(items, revision)
        self._confirm(age_s)

    def append_relayed(self, items: Iterable[Item], revision: int) -> None:
        """Add changes from a relay, for the time when this instance watches the store itself."""
        with self._lock:
            for item in items:
                if item.revision > self._revision:
                    self._changes.append(item)
                    self._size_bytes += _size_bytes(item)
            self._revision = max(self._revision, revision)
            while len(self._changes) > MAX_CHANGES or self._size_bytes > MAX_CHANGES_BYTES:
                dropped = self._changes.popleft()
                self._complete_after = dropped.revision
                self._size_bytes -= _size_bytes(dropped)

    def _confirm(self, age_s: float) -> None:
        self._confirmed_at = max(self._confirmed_at, self._clock.monotonic() - age_s)
        self._change_state(RelayState.WATCHING)

    def lose_store(self) -> None:
        """State to all that wait that this instance does not reach the store."""
        self._change_state(RelayState.STORE_LOST)

    def stop(self) -> None:
        """State to all that wait that this instance does not watch the store any more."""
        self._change_state(RelayState.NOT_WATCHING)

    def _change_state(self, state: RelayState) -> None:
        with self._lock:
            self._state = state
            if state is RelayState.WATCHING:
                ready = [n for n, (after, _) in self._waiting.items() if self._has_reply(after)]
            else:
                ready = list(self._waiting)
            replies = [
                (deliver, self._make_reply(after))
                for after, deliver in (self._waiting.pop(number) for number in ready)
            ]
        for deliver, reply in replies:
            deliver(reply)

    def answer(self, req: ChangesRequest, deliver: Deliver) -> Callable[[], None]:
        """Deliver the changes after a revision, now or once there are any.

        Parameters
        ----------
        req : ChangesRequest
            The revision.
        deliver : Callable
            Called once with the reply, on any thread.

        Returns
        -------
        Callable
            Ends the wait with a reply without changes; without effect after a reply.
        """
        reply = None
        with self._lock:
            self._request_count += 1
            number = self._request_count
            if self._has_reply(req.after) or len(self._waiting) >= MAX_WAITING:
                reply = self._make_reply(req.after)
            else:
                self._waiting[number] = (req.after, deliver)
        if reply is not None:
            deliver(reply)
        return lambda: self._end_wait(number)

    def _end_wait(self, number: int) -> None:
        with self._lock:
            waiting = self._waiting.pop(number, None)
            reply = self._make_reply(waiting[0]) if waiting is not None else None
        if waiting is not None:
            waiting[1](reply)

    def _has_reply(self, after: int) -> bool:
        """Return whether there is something to say at once."""
        return (
            self._state is not RelayState.WATCHING
            or after < self._complete_after
            or after < self._revision
        )

    def _make_reply(self, after: int) -> ChangesReply:
        state, changes = self._state, []
        if state is not RelayState.NOT_WATCHING:
            if after < self._complete_after:
                state = RelayState.HISTORY_GONE
            else:
                changes = [
                    StoreChange(
                        key=item.key,
                        value=item.value or b"",
                        deleted=item.value is None,
                        revision=item.revision,
                        created=item.created,
                    )
                    for item in self._changes
                    if item.revision > after
                ]
        age_s = self._clock.monotonic() - self._confirmed_at
        return ChangesReply(
            state=state,
            changes=changes,
            revision=self._revision,
            age_ms=round(min(age_s * MS_PER_S, MAX_AGE_MS)),
        )


def _size_bytes(item: Item) -> int:
    return len(item.key) + len(item.value or b"")
