"""Passing settings and lists on between instances: digests first, then what is missing."""

import logging
import queue
import threading
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from result import Err

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.membership import Membership
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.peers import PeerLinks
from quetzalrudder.schema.peers import (
    DepartureKind,
    Digest,
    Farewell,
    ListsRequest,
    ListsUpdate,
    SettingsRequest,
    SettingsUpdate,
)
from quetzalrudder.schema.settings import Branch, Tree
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.shared_lists import SharedLists
from quetzalrudder.timeline import Timeline
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["Spreader"]

log = logging.getLogger(__name__)

DIGEST_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 2.0
PULL_PATIENCE_S = 0.5
PAGE_BYTES = 256 * 1024
MAX_CHANGES_BYTES = 1024 * 1024
UNKNOWN_AGE_MS = 2**40


@dataclass(frozen=True)
class _Answer:
    """An answer that came, or the end of a request."""

    peer: InstanceId
    asked_at: float
    fut: "Future[Any]"


@dataclass(frozen=True)
class _Ahead:
    """A peer said that it knows more."""

    peer: InstanceId
    digest: Digest


class _Announce:
    """Something new is known here."""


class Spreader:
    """Keeps this instance's settings and lists as new as its peers'.

    Each second one of the chosen peers is compared with, in turn; what is new here
    is announced to all of them at once. Nothing here waits for a peer.

    Parameters
    ----------
    links : PeerLinks
        Ways to the peers.
    membership : Membership
        Chooses the peers.
    store : SettingsStore
        The settings.
    lists : SharedLists
        The lists.
    data_centre : DataCentre
        This instance's; lists are taken from the same one, where addresses are alike.
    clock : Clock
        Source of time.
    timeline : Timeline
        Keeps the last events of peers that stop.
    """

    def __init__(
        self,
        links: PeerLinks,
        membership: Membership,
        store: SettingsStore,
        lists: SharedLists,
        data_centre: DataCentre,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        self._links = links
        self._membership = membership
        self._store = store
        self._lists = lists
        self._data_centre = data_centre
        self._clock = clock
        self._timeline = timeline
        self._inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._turn = 0
        # Per peer and kind of request: clock reading when an unanswered one was sent.
        self._asked: dict[tuple[InstanceId, type], float] = {}
        # The revision that a peer was asked for, and until when no other one is asked.
        self._coming = (0, float("-inf"))
        self._pages: dict[InstanceId, list[Branch]] = {}
        self._page_base: dict[InstanceId, Tree] = {}
        links.on(Digest, self.on_digest)
        links.on(SettingsRequest, self.on_settings_request)
        links.on(ListsRequest, self.on_lists_request)
        links.on(Farewell, self.on_farewell)
        store.on_change.append(self.announce)

    def digest(self) -> Digest:
        """Tell what this instance knows."""
        tree = self._store.tree
        age_ms = min(self._store.age_ms, UNKNOWN_AGE_MS)
        return Digest(
            settings_revision=tree.revision,
            settings_age_ms=int(age_ms) + 1,
            settings_chain=tree.chain,
            data_centre=self._data_centre,
            lists_digest=self._lists.digest,
            lists_wall_us=self._lists.stamp[0],
            lists_logical=self._lists.stamp[1],
            departures=self._membership.departures(),
        )

    def announce(self) -> None:
        """Have the chosen peers told, soon, that this instance knows something new."""
        self._inbox.put(_Announce())

    def on_digest(self, peer: InstanceId, digest: Digest) -> Digest:
        """Answer a peer's digest with the own one."""
        self._membership.take_departures(digest.departures)
        own = (DepartureKind.INSTANCE, peer)
        if all((left.kind, left.name) != own for left in digest.departures):
            self._membership.note_present(peer)
        self._inbox.put(_Ahead(peer, digest))
        return self.digest()

    def on_settings_request(self, peer: InstanceId, req: SettingsRequest) -> SettingsUpdate:
        """Give the changes above a peer's revision, or a page of the tree."""
        tree = self._store.tree
        if req.whole:
            after = req.after_path if req.next_page else None
            branches, last = tree.branches_after(after, PAGE_BYTES)
            history = [] if req.next_page else tree.tree.history
            page = Tree(revision=tree.revision, branches=branches, history=history)
            return SettingsUpdate(page=page, last_page=last)
        changes = self._store.changes_above(req.above_revision, req.chain)
        if changes is None or sum(len(bytes(change)) for change in changes) > MAX_CHANGES_BYTES:
            return SettingsUpdate(whole_needed=True)
        return SettingsUpdate(changes=changes)

    def on_lists_request(self, peer: InstanceId, req: ListsRequest) -> ListsUpdate:
        """Give the difference to a peer's lists."""
        return self._lists.update_from(req.base_digest)

    def on_farewell(self, peer: InstanceId, farewell: Farewell) -> Digest:
        """Keep the last events of a peer that stops."""
        self._timeline.adopt(farewell.events)
        return self.digest()

    def run(self, stopping: threading.Event) -> None:
        """Spread until told to stop; one task runs this."""
        next_at = self._clock.monotonic()
        while not stopping.is_set():
            if self._clock.monotonic() >= next_at:
                next_at = self._clock.monotonic() + DIGEST_INTERVAL_S
                self.tick()
            wait_s = max(0.0, next_at - self._clock.monotonic())
            try:
                self.handle(self._inbox.get(timeout=wait_s))
            except queue.Empty:
                continue
            except Exception:
                log.exception("spreading ended a step by a defect")

    def handle_waiting(self) -> None:
        """Handle everything that has come so far."""
        while not self._inbox.empty():
            self.handle(self._inbox.get())

    def tick(self) -> None:
        """Compare with the next one of the chosen peers."""
        peers = self._membership.fan_out()
        if peers:
            self._ask(peers[self._turn % len(peers)].instance, self.digest())
        self._turn += 1

    def handle(self, event: Any) -> None:
        """Take one step."""
        match event:
            case _Announce():
                for info in self._membership.fan_out():
                    self._ask(info.instance, self.digest(), again=True)
            case _Ahead(peer, digest):
                self._pull(peer, digest)
            case _Answer(peer, asked_at, fut):
                self._take_answer(peer, asked_at, fut)

    def _ask(self, peer: InstanceId, message: Any, *, again: bool = False) -> None:
        now = self._clock.monotonic()
        key = (peer, type(message))
        if not again and now - self._asked.get(key, float("-inf")) < ANSWER_TIMEOUT_S:
            return
        try:
            fut = self._links.start(peer, message)
        except QuetzalrudderError as exc:
            log.debug("peer not reached", extra={"reason": str(exc)})
            return
        self._asked[key] = now

        def answered(done: "Future[Any]") -> None:
            self._asked.pop(key, None)
            self._inbox.put(_Answer(peer, now, done))

        fut.add_done_callback(answered)

    def _take_answer(self, peer: InstanceId, asked_at: float, fut: "Future[Any]") -> None:
        answer = self._links.answer_of(fut, 0)
        if isinstance(answer, Err):
            self._pages.pop(peer, None)
            return
        match answer.ok_value:
            case Digest() as digest:
                self._membership.take_departures(digest.departures)
                self._prove(digest, asked_at)
                self._pull(peer, digest)
            case SettingsUpdate() as update:
                self._take_settings(peer, update)
            case ListsUpdate() as update:
                self._lists.take(update)

    def _prove(self, digest: Digest, asked_at: float) -> None:
        proved_at = asked_at - digest.settings_age_ms / MS_PER_S
        self._store.confirm_revision(digest.settings_revision, proved_at)

    def _pull(self, peer: InstanceId, digest: Digest) -> None:
        tree = self._store.tree
        if digest.settings_revision > tree.revision and not self._is_coming(digest):
            self._coming = (digest.settings_revision, self._clock.monotonic() + PULL_PATIENCE_S)
            req = SettingsRequest(above_revision=tree.revision, chain=tree.chain)
            self._ask(peer, req)
        self._pull_lists(peer, digest)

    def _is_coming(self, digest: Digest) -> bool:
        revision, until = self._coming
        return digest.settings_revision <= revision and self._clock.monotonic() < until

    def _pull_lists(self, peer: InstanceId, digest: Digest) -> None:
        stamp = (digest.lists_wall_us, digest.lists_logical)
        if digest.data_centre != self._data_centre and self._lists.known:
            return
        if digest.lists_digest == self._lists.digest:
            self._lists.confirm(digest.lists_digest, stamp)
        elif stamp > self._lists.stamp:
            self._ask(peer, ListsRequest(base_digest=self._lists.digest))

    def _take_settings(self, peer: InstanceId, update: SettingsUpdate) -> None:
        if update.page is not None:
            self._take_page(peer, update)
        elif update.whole_needed or not self._store.adopt_changes(update.changes):
            self._pages[peer] = []
            self._ask(peer, SettingsRequest(whole=True))

    def _take_page(self, peer: InstanceId, update: SettingsUpdate) -> None:
        page = update.page
        pages = self._pages.get(peer)
        if pages is None:
            return
        if not pages:
            self._page_base[peer] = page
        base = self._page_base[peer]
        if page.revision != base.revision:
            self._pages[peer] = []
            self._ask(peer, SettingsRequest(whole=True))
            return
        pages += page.branches
        if not update.last_page:
            after = page.branches[-1].path
            self._ask(peer, SettingsRequest(whole=True, after_path=after, next_page=True))
            return
        del self._pages[peer]
        self._store.adopt_tree(Tree(base.revision, pages, base.history))
