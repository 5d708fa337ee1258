import json

import pytest

from quetzalrudder.ctl import main as ctl
from quetzalrudder.ctl_settings import diff_lines
from quetzalrudder.exceptions import Conflict, InvalidSettings, OutcomeUnknown
from quetzalrudder.models import InstanceId
from quetzalrudder.schema.operators import ApplyRequest
from quetzalrudder.schema.settings import Branch, BranchKind, BranchSettings, Tree
from quetzalrudder.settings import SettingsTree, branches_to_ini, parse_branches
from quetzalrudder.settings_log import (
    LOG_RETENTION_CHANGES,
    MAX_VALUE_BYTES,
    SNAPSHOT_INTERVAL_CHANGES,
    log_key,
)
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.timeline import Timeline
from standins.memory_platform import MemoryPlatform, MemoryStore
from tests.clocks import ManualClock


class SharedPlatform:
    """Settings stores that share one platform in memory."""

    def __init__(self):
        self.clock = ManualClock()
        self.platform = MemoryStore(self.clock)
        self.numbers = iter(range(1, 1_000_000))

    def store(self):
        timeline = Timeline(InstanceId("one"), self.clock)
        return SettingsStore(MemoryPlatform(self.platform), self.clock, timeline)

    def request(self, base_revision, *put, change_id=None, removed=()):
        change_id = change_id or f"change-{next(self.numbers)}"
        return ApplyRequest(
            change_id=change_id,
            operator_name="aigul",
            summary=change_id,
            base_revision=base_revision,
            put=list(put),
            removed=list(removed),
        )


@pytest.fixture
def shared():
    return SharedPlatform()


def route(path, **settings):
    return Branch(kind=BranchKind.ROUTE, path=path, settings=BranchSettings(**settings))


def change_ids(store):
    return [change.change_id for change in store.tree.tree.history]


def test_racing_operators_get_a_conflict_that_names_the_other_change(shared):
    one, two = shared.store(), shared.store()
    assert one.apply(shared.request(0, route("a"), change_id="first")).is_ok()
    refused = two.apply(shared.request(0, route("b"), change_id="second")).err_value
    assert isinstance(refused, Conflict)
    assert "first" in refused.message and "aigul" in refused.message
    assert change_ids(two) == ["first"]


def test_repeated_change_is_recognised_after_another_operators_change(shared):
    one, two = shared.store(), shared.store()
    shared.platform.lose_answers = 1
    req = shared.request(0, route("a"), change_id="mine")
    original_append = one._log.append

    def append_then_other(change):
        answer = original_append(change)
        two.apply(shared.request(1, route("b"), change_id="other"))
        return answer

    one._log.append = append_then_other
    assert one.apply(req).ok_value.revision == 1
    assert two.apply(req).ok_value.revision == 1
    assert one.load().is_ok()
    assert change_ids(one) == ["mine", "other"]


def test_unanswered_change_has_an_unknown_outcome_and_is_found_when_repeated(shared):
    store = shared.store()
    req = shared.request(0, route("a"), change_id="mine")
    original_append = store._log.append

    def append_then_outage(change):
        shared.platform.lose_answers = 1
        answer = original_append(change)
        shared.platform.down = True
        return answer

    store._log.append = append_then_outage
    assert isinstance(store.apply(req).err_value, OutcomeUnknown)
    shared.platform.down = False
    assert shared.store().apply(req).ok_value.change_id == "mine"


def test_change_trimmed_from_the_log_is_not_accepted_twice(shared):
    store = shared.store()
    req = shared.request(0, route("a"), change_id="mine")
    assert store.apply(req).is_ok()
    assert store.apply(shared.request(1, route("b"))).is_ok()
    shared.platform.entries.pop(log_key(1))
    assert isinstance(store.apply(req).err_value, OutcomeUnknown)
    assert store.tree.revision == 2


def test_partly_invalid_change_is_rejected_as_a_whole(shared):
    store = shared.store()
    for invalid in (
        [route("a"), route("no/parent")],
        [route("a"), route("a", max_age_ms=1)],
        [route("a"), route("b", weight=0)],
        [route("a"), route("b", key_digests="0" * 64)],
        [route("a"), Branch(kind=BranchKind.ROOT, path="b", settings=BranchSettings())],
    ):
        assert isinstance(store.apply(shared.request(0, *invalid)).err_value, InvalidSettings)
    assert store.tree.revision == 0
    assert not shared.platform.entries


def test_tree_larger_than_a_value_is_split_and_reaches_a_new_instance(shared):
    digests = " ".join("0" * 64 for _ in range(100))
    branches = [
        Branch(BranchKind.WORKSPACE, f"w{n:04}", BranchSettings(key_digests=digests))
        for n in range(300)
    ]
    one = shared.store()
    assert one.apply(shared.request(0, *branches)).is_ok()
    assert (
        max(len(entry.value) for entry in shared.platform.entries.values()) <= 2 * MAX_VALUE_BYTES
    )
    for revision in range(1, SNAPSHOT_INTERVAL_CHANGES + 3):
        assert one.apply(shared.request(revision, route("r", max_age_ms=revision))).is_ok()
    new = shared.store()
    assert new.load().is_ok()
    assert new.tree.tree.branches == one.tree.tree.branches
    assert new.tree.chain == one.tree.chain
    assert not [key for key in shared.platform.entries if key.startswith("settings/intent/")]


def test_parts_of_an_abandoned_write_are_deleted(shared):
    store = shared.store()
    store._log._write_parts("abandoned", 7, [route("a")])
    assert store.apply(shared.request(0, route("a"))).is_ok()
    shared.clock.advance(7200)
    snapshot = store._log.read_snapshot().ok_value
    store._log.delete_abandoned_parts(snapshot)
    outside_log = [key for key in shared.platform.entries if not key.startswith("settings/log/")]
    assert outside_log == []


def test_changes_lost_by_the_platform_are_written_again_and_stay_in_force(shared):
    one, fresh = shared.store(), shared.store()
    one.apply(shared.request(0, route("a"), change_id="kept"))
    backup = shared.platform.backup()
    one.apply(shared.request(1, route("b"), change_id="lost-1"))
    one.apply(shared.request(2, route("c"), change_id="lost-2"))
    shared.platform.restore(backup)
    assert one.load().is_ok()
    assert one.tree.revision == 3
    assert fresh.load().is_ok()
    assert change_ids(fresh) == ["kept", "lost-1", "lost-2"]


def test_lost_changes_are_merged_with_those_accepted_in_the_meantime(shared):
    one, fresh = shared.store(), shared.store()
    one.apply(shared.request(0, route("a"), change_id="kept"))
    backup = shared.platform.backup()
    one.apply(shared.request(1, route("b"), change_id="lost-1"))
    one.apply(shared.request(2, route("c"), change_id="lost-2"))
    shared.platform.restore(backup)
    fresh.apply(shared.request(1, route("d"), change_id="meanwhile"))
    assert one.load().is_ok()
    assert fresh.load().is_ok()
    assert change_ids(fresh) == change_ids(one) == ["kept", "meanwhile", "lost-1", "lost-2"]
    assert fresh.tree.tree.branches == one.tree.tree.branches


def test_age_counts_from_the_request_to_the_platform(shared):
    store = shared.store()
    store.apply(shared.request(0, route("a")))
    version = store.load().ok_value
    shared.clock.advance(3)
    assert store.age_ms == pytest.approx(3000)
    assert store.watch_once(version).is_ok()
    assert store.age_ms == 0
    shared.platform.down = True
    shared.clock.advance(5)
    assert store.watch_once(version).is_err()
    assert store.age_ms == pytest.approx(5000)


def test_log_retains_most_of_a_day_of_changes():
    # A fleet accepts up to 21,000 changes a day.
    assert LOG_RETENTION_CHANGES >= 21_000 * 0.75


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("[root]\ndeadline_ms = 0\n", "[root] deadline_ms"),
        ("[root]\nweight = nan\n", "[root] weight"),
        ("[root]\nmax_age_ms = 99999999999\n", "[root] max_age_ms"),
        ("[root]\nopen = maybe\n", "[root] open"),
        ("[workspace a]\nkey_digests = xyz\n", "[workspace a] key_digests"),
        ("[route a/b]\n", "[route a/b]"),
        ("[route a]\ncolour = red\n", "[route a] colour"),
    ],
)
def test_errors_name_file_section_and_key(text, place):
    with pytest.raises(InvalidSettings) as raised:
        parse_branches(text, "tree.ini")
    assert [error.place for error in raised.value.errors] == [f"tree.ini {place}"]


TREE = """
[root]
deadline_ms = 700
[branch steppe]
max_age_ms = 50
[route steppe/offers]
group = g
"""


def test_source_of_each_setting_is_the_section_that_sets_it():
    tree = SettingsTree(Tree(revision=1, branches=parse_branches(TREE)))
    sources = tree.sources("steppe/offers")
    assert sources["deadline_ms"] == "root"
    assert sources["max_age_ms"] == "branch steppe"
    assert sources["group"] == "route steppe/offers"
    assert sources["burst"] == "(default)"


def test_diff_shows_each_value_once():
    tree = Tree(revision=1, branches=parse_branches(TREE))
    assert diff_lines(tree, parse_branches(branches_to_ini(tree.branches))) == []
    changed = parse_branches(TREE.replace("50", "60").replace("[route steppe/offers]\n", ""))
    assert diff_lines(tree, changed) == [
        "- [route steppe/offers]",
        "~ [branch steppe]",
        "+   group = g",
        "-   max_age_ms = 50",
        "+   max_age_ms = 60",
    ]


def test_settings_commands(fleet, tmp_path, capsys):
    control = f"--control={fleet.control_addresses['astana-b-1']}"
    assert ctl(["settings", "show", control]) == 0
    text = capsys.readouterr().out
    revision = int(text.split()[2])
    file = tmp_path / "tree.ini"
    file.write_text(text + "\n[route steppe/new]\n", encoding="utf-8")
    assert ctl(["settings", "check", str(file)]) == 0
    assert ctl(["settings", "diff", str(file), control]) == 0
    assert "+ [route steppe/new]" in capsys.readouterr().out
    assert ctl(["settings", "apply", str(file), f"--base={revision}", control]) == 0
    assert ctl(["settings", "apply", str(file), f"--base={revision}", control, "--json"]) == 1
    assert json.loads(capsys.readouterr().err)["error"] == "conflict"
    assert ctl(["settings", "show", "steppe/new", "--effective", control]) == 0
    assert "group = valuation-core-1    # [branch steppe]" in capsys.readouterr().out
    assert ctl(["settings", "history", control]) == 0
    assert "apply tree.ini" in capsys.readouterr().out
