import base64
import queue
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from quetzalrudder import connections
from quetzalrudder.access import CallerIdentity, KeyGuard, authenticate, check_frame
from quetzalrudder.bridge import WAKE
from quetzalrudder.connections import CallerConnections
from quetzalrudder.ctl import main as ctl
from quetzalrudder.exceptions import (
    KeyInStatement,
    KeyWithdrawn,
    LinkLost,
    QuetzalrudderError,
    SettingsTooOld,
    Unauthenticated,
)
from quetzalrudder.keys import digest_key, make_key
from quetzalrudder.metrics import Metrics
from quetzalrudder.operator_keys import KEY_FILE_VARIABLE, KEY_VARIABLE
from quetzalrudder.operators import OperatorClient
from quetzalrudder.schema.caller import (
    Access,
    Answer,
    AskOutcome,
    CallerFrame,
    Hello,
    Statement,
)
from quetzalrudder.schema.common import Ending, ErrorCode, Value
from quetzalrudder.schema.settings import Branch, BranchKind, BranchSettings, Tree
from quetzalrudder.settings import SettingsTree
from quetzalrudder.timeline import Timeline
from quetzalrudder.transactions import TransactionRunner
from quetzalrudder.utils import parse_address
from standins.fleet import OPERATOR_KEY
from tests.clocks import ManualClock
from tests.helpers import grant_key, wait_for
from tests.naive.keys import CachedKeyGuard

WORKSPACE = "steppe/branch-1"
KEY = "qrk_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
OTHER_KEY = "qrk_BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB"
INSERT = "INSERT INTO offers VALUES (?)"
MAX_VIEW_AGE_MS = 60_000
# Connected callers must learn of a withdrawn key within seconds.
WITHDRAWAL_TIMEOUT_S = 3.0


def tree_with(*keys, revision=1, max_age_ms=MAX_VIEW_AGE_MS):
    digests = " ".join(digest_key(key) for key in keys)
    settings = BranchSettings(key_digests=digests, key_view_max_age_ms=max_age_ms)
    other = BranchSettings(key_digests=digest_key(OTHER_KEY))
    branches = [
        Branch(kind=BranchKind.WORKSPACE, path=WORKSPACE, settings=settings),
        Branch(kind=BranchKind.WORKSPACE, path="venues/hall-1", settings=other),
    ]
    return SettingsTree(Tree(revision=revision, branches=branches))


class FakeKeyView:
    """A view of the keys whose tree and age a test sets."""

    is_loaded = True

    def __init__(self, tree, age_ms=0.0):
        self.tree = tree
        self.age_ms = age_ms


class FakePipe:
    """The serving thread's end of a caller's stream; the test acts as the caller."""

    def __init__(self):
        self.inbox = queue.Queue()
        self.sent = queue.Queue()
        self.closed = threading.Event()
        self.recv_timeouts = []

    def recv(self, timeout_s=None):
        self.recv_timeouts.append(timeout_s)
        try:
            frame = self.inbox.get(timeout=timeout_s)
        except queue.Empty:
            raise TimeoutError from None
        if frame is WAKE:
            raise TimeoutError
        if frame is None:
            raise LinkLost("closed")
        return frame

    def wake(self):
        self.inbox.put(WAKE)

    def send(self, message, timeout_s):
        if self.closed.is_set():
            raise LinkLost("closed")
        self.sent.put(message)

    def close(self):
        self.closed.set()
        self.inbox.put(None)


class BlockingRunner:
    """Blocks each request until the test releases it."""

    def __init__(self):
        self.started = threading.Semaphore(0)
        self.resume = threading.Semaphore(0)
        self.finished = 0

    def plan(self, tree, caller, request_id, req):
        return Ok(SimpleNamespace(caller=caller, settings=SimpleNamespace(cost=1.0)))

    def run(self, plan, stmt):
        self.started.release()
        self.resume.acquire(timeout=10)
        self.finished += 1
        return Ok(Answer(target="valuation-core-1-a"))


class ConnectedCaller:
    """One caller connected to one instance without sockets."""

    def __init__(self, executor, key=KEY):
        self.view = FakeKeyView(tree_with(KEY))
        self.runner = BlockingRunner()
        self.pipe = FakePipe()
        clock = ManualClock()
        self.timeline = Timeline("astana-a-1", clock)
        self.connections = CallerConnections(
            instance="astana-a-1",
            data_centre="astana-a",
            store=self.view,
            runner=self.runner,
            rates=SimpleNamespace(admit=lambda workspace, cost: Ok(None)),
            transactions=TransactionRunner(self.runner, None, lambda _: 1, clock, random.Random(1)),
            executor=executor,
            max_connections=4,
            clock=clock,
            timeline=self.timeline,
            metrics=Metrics(None),
        )
        self.stopping = threading.Event()
        executor.submit(self.connections.watch_keys, self.stopping)
        self.connections.accept(self.pipe)
        self.send(CallerFrame(request_id="hello", hello=Hello(workspace=WORKSPACE, key=key)))
        self.hello_answer = self.next_answer()

    def send(self, frame):
        self.pipe.inbox.put(frame)

    def start(self, access):
        stmt = Statement(route="steppe/offers", sql="SELECT 1", access=access)
        self.send(CallerFrame(request_id="running", statement=stmt))

    def next_answer(self):
        return self.pipe.sent.get(timeout=5)

    def end(self):
        self.stopping.set()
        self.pipe.close()
        self.runner.resume.release()


@pytest.fixture
def connected():
    with ThreadPoolExecutor(4) as executor:
        connected_caller = ConnectedCaller(executor)
        assert connected_caller.hello_answer.welcome is not None
        yield connected_caller
        connected_caller.end()


@pytest.fixture
def naive_connected(monkeypatch):
    monkeypatch.setattr(connections, "KeyGuard", CachedKeyGuard)
    with ThreadPoolExecutor(4) as executor:
        connected_caller = ConnectedCaller(executor)
        yield connected_caller
        connected_caller.end()


def test_withdrawal_is_reported_to_an_idle_caller_and_closes_its_connection(connected):
    connected.view.tree = tree_with(revision=2)
    answer = connected.next_answer()
    assert (answer.failure.code, answer.failure.ending) == (ErrorCode.KEY_WITHDRAWN, Ending.NOT_RUN)
    assert connected.pipe.closed.wait(5)


def test_idle_connection_waits_without_timeout_until_move_on_is_sent(connected):
    """Guards against periodic wake-ups of idle connections.

    On a node with 7,714 connections, two wake-ups a second for each took 77 % of a core.
    """
    wait_for(lambda: connected.pipe.recv_timeouts[1:] == [None], "it waits without a timeout")
    connected.connections.draining.set()
    assert connected.next_answer().move_on is not None
    wait_for(lambda: connected.connections.count == 0, "the connection ends")


def test_naive_idle_caller_is_still_served_after_withdrawal(naive_connected):
    naive_connected.view.tree = tree_with(revision=2)
    naive_connected.start(Access.WRITE)
    naive_connected.runner.resume.release()
    assert naive_connected.next_answer().answer is not None
    assert naive_connected.runner.finished == 1


@pytest.mark.parametrize(
    ("access", "ending"), [(Access.READ, Ending.NOT_RUN), (Access.WRITE, Ending.UNKNOWN)]
)
def test_request_in_flight_is_ended_and_its_answer_withheld(connected, access, ending):
    connected.start(access)
    connected.runner.started.acquire(timeout=5)
    connected.view.tree = tree_with(revision=2)
    answer = connected.next_answer()
    assert (answer.failure.code, answer.failure.ending) == (ErrorCode.KEY_WITHDRAWN, ending)
    connected.runner.resume.release()
    wait_for(lambda: connected.connections.count == 0, "the connection ends")
    assert connected.pipe.sent.empty()


def test_naive_request_in_flight_is_answered_after_withdrawal(naive_connected):
    naive_connected.start(Access.READ)
    naive_connected.runner.started.acquire(timeout=5)
    naive_connected.view.tree = tree_with(revision=2)
    naive_connected.runner.resume.release()
    assert naive_connected.next_answer().answer is not None


@pytest.mark.parametrize(
    ("access", "ending"), [(Access.READ, Ending.NOT_RUN), (Access.WRITE, Ending.DONE)]
)
def test_answer_ready_after_withdrawal_is_withheld_with_the_actual_ending(
    connected, access, ending
):
    """The check before the answer works without the task that closes connections.

    That task is stopped before the key is withdrawn.
    """
    connected.stopping.set()
    time.sleep(0)
    connected.start(access)
    connected.runner.started.acquire(timeout=5)
    wait_for(lambda: connected.connections.count == 1, "the connection is served")
    time.sleep(2 * connections.KEY_SWEEP_INTERVAL_S)
    connected.view.tree = tree_with(revision=2)
    connected.runner.resume.release()
    answer = connected.next_answer()
    assert answer.request_id == "running"
    assert (answer.failure.code, answer.failure.ending) == (ErrorCode.KEY_WITHDRAWN, ending)
    assert connected.pipe.closed.wait(5)


def test_withdrawal_of_another_key_ends_nothing(connected):
    connected.view.tree = tree_with(KEY, revision=2)
    connected.start(Access.READ)
    connected.runner.resume.release()
    assert connected.next_answer().answer is not None


def test_request_id_that_contains_the_key_is_refused_and_not_recorded(connected):
    stmt = Statement(route="steppe/offers", sql="SELECT 1", access=Access.READ)
    connected.send(CallerFrame(request_id=f"id-{KEY}", statement=stmt))
    assert connected.next_answer().failure.code is ErrorCode.KEY_IN_STATEMENT
    assert connected.runner.finished == 0
    assert KEY not in repr(connected.timeline.events())


def test_key_unknown_when_the_caller_connects_is_unauthenticated():
    with ThreadPoolExecutor(4) as executor:
        connected_caller = ConnectedCaller(executor, key=OTHER_KEY)
        connected_caller.end()
    assert connected_caller.hello_answer.failure.code is ErrorCode.UNAUTHENTICATED


def caller(key=KEY):
    return CallerIdentity(WORKSPACE, key)


def test_view_past_its_bound_refuses_known_and_unknown_keys():
    view = FakeKeyView(tree_with(KEY), age_ms=MAX_VIEW_AGE_MS)
    assert authenticate(view, caller()) == Ok(None)
    view.age_ms = MAX_VIEW_AGE_MS + 1
    for key in (KEY, make_key()):
        exc = authenticate(view, caller(key)).err_value
        assert isinstance(exc, SettingsTooOld)
        assert exc.retry_after_ms > 0
        assert exc.ending is Ending.NOT_RUN


def test_connected_caller_is_refused_while_the_view_is_too_old():
    view = FakeKeyView(tree_with(KEY))
    guard = KeyGuard(view, WORKSPACE, KEY)
    view.age_ms = MAX_VIEW_AGE_MS + 1
    assert isinstance(guard.check().err_value, SettingsTooOld)
    assert not guard.withdrawn
    view.age_ms = 0
    assert guard.check() == Ok(None)


def test_without_a_bound_a_cut_off_data_centre_serves_on_its_last_view():
    view = FakeKeyView(tree_with(KEY, max_age_ms=0), age_ms=float("inf"))
    assert authenticate(view, caller()) == Ok(None)
    assert KeyGuard(view, WORKSPACE, KEY).check() == Ok(None)
    assert isinstance(authenticate(view, caller(make_key())).err_value, Unauthenticated)


def test_caller_is_refused_as_retryable_before_the_first_settings():
    view = FakeKeyView(SettingsTree(Tree()), age_ms=float("inf"))
    assert isinstance(authenticate(view, caller()).err_value, SettingsTooOld)


def test_key_of_another_workspace_is_refused():
    exc = authenticate(FakeKeyView(tree_with(KEY)), caller(OTHER_KEY)).err_value
    assert type(exc) is Unauthenticated


def test_key_is_compared_once_for_each_revision(monkeypatch):
    comparisons = []
    is_known_digest = connections.KeyGuard.__init__.__globals__["is_known_digest"]
    monkeypatch.setitem(
        connections.KeyGuard.__init__.__globals__,
        "is_known_digest",
        lambda *args: comparisons.append(1) or is_known_digest(*args),
    )
    view = FakeKeyView(tree_with(KEY))
    guard = KeyGuard(view, WORKSPACE, KEY)
    for _ in range(5):
        assert guard.check() == Ok(None)
    assert len(comparisons) == 1
    view.tree = tree_with(revision=2)
    assert isinstance(guard.check().err_value, KeyWithdrawn)
    assert len(comparisons) == 2


def test_no_repr_shows_a_key():
    guard = KeyGuard(FakeKeyView(tree_with(KEY)), WORKSPACE, KEY)
    objects = [guard, guard.caller, guard.check(), caller()]
    assert all(KEY not in repr(item) and KEY not in str(item) for item in objects)


def statement_frame(sql="SELECT 1", *params, request_id="r"):
    stmt = Statement(route="steppe/offers", sql=sql, params=list(params), access=Access.READ)
    return CallerFrame(request_id=request_id, statement=stmt)


@given(before=st.binary(max_size=9), after=st.binary(max_size=9), key=st.sampled_from([KEY]))
def test_key_is_found_plain_in_hexadecimal_and_in_base64(before, after, key):
    raw = before + key.encode() + after
    encodings = [
        Value(blob=raw),
        Value(text=raw.hex()),
        Value(text=raw.hex().upper()),
        Value(text=base64.b64encode(raw).decode()),
        Value(text=base64.urlsafe_b64encode(raw).decode()),
        Value(blob=base64.b64encode(raw)),
    ]
    for value in encodings:
        checked = check_frame(tree_with(key), caller(key), statement_frame("SELECT ?", value))
        assert isinstance(checked.err_value, KeyInStatement)


@pytest.mark.parametrize("key", [KEY, OTHER_KEY])
@pytest.mark.parametrize(
    "make_frame",
    [
        lambda key: statement_frame(f"SELECT '{key}'"),
        lambda key: statement_frame("SELECT ?", Value(text=f"x{key}y")),
        lambda key: statement_frame("SELECT ?", Value(blob=key.encode())),
        lambda key: statement_frame(request_id=key),
        lambda key: CallerFrame(request_id="r", ask_outcome=AskOutcome(request_id=key)),
    ],
)
def test_key_of_any_workspace_is_refused_wherever_it_stands(make_frame, key):
    checked = check_frame(tree_with(KEY), caller(), make_frame(key))
    assert isinstance(checked.err_value, KeyInStatement)


@given(st.text(max_size=60), st.binary(max_size=60))
def test_statements_without_a_key_pass(text, blob):
    frame = statement_frame(text, Value(text=text), Value(blob=blob), Value(integer=7))
    assert check_frame(tree_with(KEY), caller(), frame) == Ok(None)


def test_no_target_log_or_time_line_holds_a_key_in_use(fleet):
    keys = [grant_key(fleet, name) for name in ("steppe/branch-1", "steppe/branch-2")]
    first = next(iter(fleet.instance_addresses))
    for workspace, key in zip(("steppe/branch-1", "steppe/branch-2"), keys, strict=True):
        for name in fleet.instance_addresses:
            with fleet.session(name, workspace=workspace, key=key) as session:
                session.write("steppe/offers", "CREATE TABLE IF NOT EXISTS offers (plate TEXT)")
                session.write("steppe/offers", INSERT, "01 KZ")
                session.read("steppe/comparables", "SELECT 1")
                for encoding in (key, base64.b64encode(key.encode()), key.encode().hex()):
                    with pytest.raises(KeyInStatement):
                        session.write("steppe/offers", INSERT, encoding)
                with pytest.raises(KeyInStatement):
                    session.write("steppe/offers", INSERT, "01 KZ", request_id=key)
                with pytest.raises(QuetzalrudderError):
                    session.read("steppe/offers", "SELECT nothing FROM nowhere")
        with (
            fleet.session(first, workspace=key, key=key) as session,
            pytest.raises(Unauthenticated),
        ):
            session.read("steppe/offers", "SELECT 1")
    contents = {name: fleet.received_bytes(name) for name in [*fleet.target_addresses, "platform"]}
    for name in fleet.instance_addresses:
        contents[f"log of {name}"] = fleet.read_log(name).encode()
        contents[f"events of {name}"] = repr(fleet.operator(name).events()).encode()
    for key in keys:
        raw = key.encode()
        for encoding in (raw, raw.hex().encode(), base64.b64encode(raw)):
            assert [place for place, content in contents.items() if encoding in content] == []


@pytest.mark.parametrize("faults", [{}, {"delay_ms": 200}], ids=["sound", "platform-slow"])
def test_withdrawal_ends_connected_callers_of_every_instance(fleet, faults):
    key = grant_key(fleet, WORKSPACE)
    sessions = [fleet.session(n, workspace=WORKSPACE, key=key) for n in fleet.instance_addresses]
    for session in sessions:
        session.read("steppe/comparables", "SELECT 1")
    fleet.set_faults("platform", **faults)
    try:
        fleet.operator("astana-a-1").withdraw_key(WORKSPACE, key)
        for session in sessions:
            wait_for(
                lambda s=session: s._adapter.broken,
                "the connection is closed",
                WITHDRAWAL_TIMEOUT_S,
            )
            with pytest.raises(KeyWithdrawn):
                session.read("steppe/comparables", "SELECT 1")
            with pytest.raises(Unauthenticated):
                session.read("steppe/comparables", "SELECT 1")
    finally:
        fleet.set_faults("platform", delay_ms=0)
        for session in sessions:
            session.close()


def test_withdrawal_ends_a_write_in_flight(fleet):
    key = grant_key(fleet, WORKSPACE)
    with fleet.session("karaganda-1", workspace=WORKSPACE, key=key) as session:
        session.read("steppe/comparables", "SELECT 1")
        fleet.set_faults("valuation-core-1-a", delay_ms=4000)
        try:
            with ThreadPoolExecutor(1) as pool:
                running = pool.submit(session.write, "steppe/offers", INSERT, "02 KZ")
                fleet.operator("astana-a-1").withdraw_key(WORKSPACE, key)
                with pytest.raises(KeyWithdrawn) as exc_info:
                    running.result(WITHDRAWAL_TIMEOUT_S)
        finally:
            fleet.set_faults("valuation-core-1-a", delay_ms=0)
        assert exc_info.value.ending in (Ending.UNKNOWN, Ending.NOT_RUN)


def test_operator_without_the_key_is_refused(fleet, monkeypatch, tmp_path, capsys):
    address = fleet.control_addresses["astana-a-1"]
    for key in ("", "wrong", make_key()):
        client = OperatorClient(fleet.loop, parse_address(address), "intruder", key=key)
        for call in (client.status, client.tree, client.events):
            with pytest.raises(Unauthenticated):
                call()
        with pytest.raises(Unauthenticated):
            client.apply([], base_revision=0, summary="nothing")
    authorized = fleet.operator("astana-a-1")
    assert authorized.status().instance == "astana-a-1"
    monkeypatch.setenv(KEY_VARIABLE, "wrong")
    assert ctl(["status", f"--control={address}"]) == 1
    assert "unauthenticated" in capsys.readouterr().err
    file = tmp_path / "operator.key"
    assert ctl(["status", f"--control={address}", f"--operator_key_file={file}"]) == 1
    file.write_text(OPERATOR_KEY + "\n", encoding="ascii")
    assert ctl(["status", f"--control={address}", f"--operator_key_file={file}"]) == 0
    monkeypatch.setenv(KEY_FILE_VARIABLE, str(file))
    assert ctl(["status", f"--control={address}"]) == 0
    assert OPERATOR_KEY not in capsys.readouterr().out + fleet.read_log("astana-a-1")
