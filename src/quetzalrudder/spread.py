"""Gossip of settings and lists between instances: digests first, then missing changes."""

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

__all__ = ["GossipExchange"]

log = logging.getLogger(__name__)

DIGEST_INTERVAL_S = 1.0
# How long an unanswered request keeps requests of its type to the same peer from being sent.
ANSWER_TIMEOUT_S = 2.0
# How long a requested revision is awaited from one peer before it is requested from another.
PULL_TIMEOUT_S = 0.5
PAGE_BYTES = 256 * 1024
# A peer that lacks more bytes of changes than this is sent the whole tree, page by page.
MAX_CHANGES_BYTES = 1024 * 1024
# Upper bound of the sent age; the age is infinite before settings are proved current.
MAX_SENT_AGE_MS = 2**40


@dataclass(frozen=True)
class _RequestCompleted:
    """A request to a peer was answered or failed."""

    peer: InstanceId
    sent_at: float
    fut: "Future[Any]"


@dataclass(frozen=True)
class _DigestReceived:
    """A peer has sent its digest."""

    peer: InstanceId
    digest: Digest


class _AnnounceRequested:
    """Something new on this instance is to be announced to peers."""


class GossipExchange:
    """Keeps this instance's settings and lists as new as those of its peers.

    Every ``DIGEST_INTERVAL_S``, digests are exchanged with the next fan-out peer. New
    settings and departures are announced to all fan-out peers at once. No step waits for
    a peer's answer.

    Parameters
    ----------
    links : PeerLinks
        Links to the peers.
    membership : Membership
        Selects the fan-out peers and keeps departures.
    store : SettingsStore
        The settings.
    lists : SharedLists
        The lists.
    data_centre : DataCentre
        Data centre of this instance. Once lists are known, they are taken only from
        peers in the same data centre, which see the same addresses.
    clock : Clock
        Source of time.
    timeline : Timeline
        Keeps the last events of stopping peers.
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
        self._peer_index = 0
        # Clock reading when an unanswered request was sent, by peer and type of request.
        self._sent_at: dict[tuple[InstanceId, type], float] = {}
        # The revision requested from a peer, and the clock reading until which no other peer gets
        # the request.
        self._pending_pull = (0, float("-inf"))
        # Branches of the pages received so far, and the first page, by peer.
        self._pages: dict[InstanceId, list[Branch]] = {}
        self._first_page: dict[InstanceId, Tree] = {}
        links.register_handler(Digest, self.on_digest)
        links.register_handler(SettingsRequest, self.on_settings_request)
        links.register_handler(ListsRequest, self.on_lists_request)
        links.register_handler(Farewell, self.on_farewell)
        store.on_change.append(self.announce)

    def digest(self) -> Digest:
        """Return a digest of what this instance knows."""
        tree = self._store.tree
        age_ms = min(self._store.age_ms, MAX_SENT_AGE_MS)
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
        """Have a digest sent to all fan-out peers; does not wait."""
        self._inbox.put(_AnnounceRequested())

    def on_digest(self, peer: InstanceId, digest: Digest) -> Digest:
        """Answer a peer's digest with this instance's digest."""
        self._membership.merge_departures(digest.departures)
        peer_departure = (DepartureKind.INSTANCE, peer)
        if all(
            (departure.kind, departure.name) != peer_departure for departure in digest.departures
        ):
            self._membership.record_presence(peer)
        self._inbox.put(_DigestReceived(peer, digest))
        return self.digest()

    def on_settings_request(self, peer: InstanceId, req: SettingsRequest) -> SettingsUpdate:
        """Return the changes above a peer's revision, or a page of the whole tree.

        If the changes are too large or no longer kept, the update states instead that the
        whole tree is needed.
        """
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
        """Return the difference to a peer's lists."""
        return self._lists.build_update(req.base_digest)

    def on_farewell(self, peer: InstanceId, farewell: Farewell) -> Digest:
        """Keep the last events of a peer that stops."""
        self._timeline.extend(farewell.events)
        return self.digest()

    def run(self, stopping: threading.Event) -> None:
        """Exchange digests and handle events until ``stopping`` is set; blocks its task."""
        next_at = self._clock.monotonic()
        while not stopping.is_set():
            if self._clock.monotonic() >= next_at:
                next_at = self._clock.monotonic() + DIGEST_INTERVAL_S
                self.exchange_with_next_peer()
            wait_s = max(0.0, next_at - self._clock.monotonic())
            try:
                self.handle_event(self._inbox.get(timeout=wait_s))
            except queue.Empty:
                continue
            except Exception:
                log.exception("handling of a gossip event failed with an unexpected error")

    def handle_queued_events(self) -> None:
        """Handle all events that are queued."""
        while not self._inbox.empty():
            self.handle_event(self._inbox.get())

    def exchange_with_next_peer(self) -> None:
        """Send a digest to the next fan-out peer."""
        peers = self._membership.fan_out_peers()
        if peers:
            self._send(peers[self._peer_index % len(peers)].instance, self.digest())
        self._peer_index += 1

    def handle_event(self, event: Any) -> None:
        """Handle one event."""
        match event:
            case _AnnounceRequested():
                for info in self._membership.fan_out_peers():
                    self._send(info.instance, self.digest(), while_pending=True)
            case _DigestReceived(peer, digest):
                self._pull(peer, digest)
            case _RequestCompleted(peer, sent_at, fut):
                self._handle_answer(peer, sent_at, fut)

    def _send(self, peer: InstanceId, message: Any, *, while_pending: bool = False) -> None:
        now = self._clock.monotonic()
        key = (peer, type(message))
        if not while_pending and now - self._sent_at.get(key, float("-inf")) < ANSWER_TIMEOUT_S:
            return
        try:
            fut = self._links.start(peer, message)
        except QuetzalrudderError as exc:
            log.debug("request could not be sent to a peer", extra={"reason": str(exc)})
            return
        self._sent_at[key] = now

        def on_completed(completed: "Future[Any]") -> None:
            self._sent_at.pop(key, None)
            self._inbox.put(_RequestCompleted(peer, now, completed))

        fut.add_done_callback(on_completed)

    def _handle_answer(self, peer: InstanceId, sent_at: float, fut: "Future[Any]") -> None:
        answer = self._links.wait_for_answer(fut, 0)
        if isinstance(answer, Err):
            self._pages.pop(peer, None)
            return
        match answer.ok_value:
            case Digest() as digest:
                self._membership.merge_departures(digest.departures)
                self._update_settings_age(digest, sent_at)
                self._pull(peer, digest)
            case SettingsUpdate() as update:
                self._apply_settings(peer, update)
            case ListsUpdate() as update:
                self._lists.apply_update(update)

    def _update_settings_age(self, digest: Digest, sent_at: float) -> None:
        proved_at = sent_at - digest.settings_age_ms / MS_PER_S
        self._store.confirm_revision(digest.settings_revision, proved_at)

    def _pull(self, peer: InstanceId, digest: Digest) -> None:
        tree = self._store.tree
        if digest.settings_revision > tree.revision and not self._is_pull_pending(digest):
            self._pending_pull = (
                digest.settings_revision,
                self._clock.monotonic() + PULL_TIMEOUT_S,
            )
            req = SettingsRequest(above_revision=tree.revision, chain=tree.chain)
            self._send(peer, req)
        self._pull_lists(peer, digest)

    def _is_pull_pending(self, digest: Digest) -> bool:
        revision, until = self._pending_pull
        return digest.settings_revision <= revision and self._clock.monotonic() < until

    def _pull_lists(self, peer: InstanceId, digest: Digest) -> None:
        stamp = (digest.lists_wall_us, digest.lists_logical)
        if digest.data_centre != self._data_centre and self._lists.known:
            return
        if digest.lists_digest == self._lists.digest:
            self._lists.confirm(digest.lists_digest, stamp)
        elif stamp > self._lists.stamp:
            self._send(peer, ListsRequest(base_digest=self._lists.digest))

    def _apply_settings(self, peer: InstanceId, update: SettingsUpdate) -> None:
        if update.page is not None:
            self._add_page(peer, update)
        elif update.whole_needed or not self._store.adopt_changes(update.changes):
            self._pages[peer] = []
            self._send(peer, SettingsRequest(whole=True))

    def _add_page(self, peer: InstanceId, update: SettingsUpdate) -> None:
        page = update.page
        pages = self._pages.get(peer)
        if pages is None:
            return
        if not pages:
            self._first_page[peer] = page
        first = self._first_page[peer]
        if page.revision != first.revision:
            self._pages[peer] = []
            self._send(peer, SettingsRequest(whole=True))
            return
        pages += page.branches
        if not update.last_page:
            after = page.branches[-1].path
            self._send(peer, SettingsRequest(whole=True, after_path=after, next_page=True))
            return
        del self._pages[peer]
        self._store.adopt_tree(Tree(first.revision, pages, first.history))
