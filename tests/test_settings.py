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


class Rig:
    """Instances without a network, before one platform."""

    def __init__(self):
        self.clock = ManualClock()
        self.platform = MemoryStore(self.clock)
        self.ids = iter(range(1, 1_000_000))

    def store(self):
        timeline = Timeline(InstanceId("one"), self.clock)
        return SettingsStore(MemoryPlatform(self.platform), self.clock, timeline)

    def request(self, base, *put, change_id=None, removed=()):
        change_id = change_id or f"change-{next(self.ids)}"
        return ApplyRequest(
            change_id=change_id,
            operator_name="aigul",
            summary=change_id,
            base_revision=base,
            put=list(put),
            removed=list(removed),
        )


@pytest.fixture
def rig():
    return Rig()


def route(path, **settings):
    return Branch(kind=BranchKind.ROUTE, path=path, settings=BranchSettings(**settings))


def ids(store):
    return [change.change_id for change in store.tree.tree.history]


def test_racing_operators_get_a_conflict_that_names_the_other_change(rig):
    one, two = rig.store(), rig.store()
    assert one.apply(rig.request(0, route("a"), change_id="first")).is_ok()
    refused = two.apply(rig.request(0, route("b"), change_id="second")).err_value
    assert isinstance(refused, Conflict)
    assert "first" in refused.message and "aigul" in refused.message
    assert ids(two) == ["first"]


def test_a_lost_answer_is_recognised_also_after_another_operators_change(rig):
    one, two = rig.store(), rig.store()
    rig.platform.lose_answers = 1
    req = rig.request(0, route("a"), change_id="mine")
    original_append = one._log.append

    def append_then_other(change):
        answer = original_append(change)
        two.apply(rig.request(1, route("b"), change_id="other"))
        return answer

    one._log.append = append_then_other
    assert one.apply(req).ok_value.revision == 1
    assert two.apply(req).ok_value.revision == 1
    assert one.load().is_ok()
    assert ids(one) == ["mine", "other"]


def test_a_change_without_any_answer_is_told_as_unknown_and_found_when_repeated(rig):
    store = rig.store()
    req = rig.request(0, route("a"), change_id="mine")
    original = store._log.append

    def append_then_outage(change):
        rig.platform.lose_answers = 1
        answer = original(change)
        rig.platform.down = True
        return answer

    store._log.append = append_then_outage
    assert isinstance(store.apply(req).err_value, OutcomeUnknown)
    rig.platform.down = False
    assert rig.store().apply(req).ok_value.change_id == "mine"


def test_a_change_trimmed_from_the_history_is_not_accepted_twice(rig):
    store = rig.store()
    req = rig.request(0, route("a"), change_id="mine")
    assert store.apply(req).is_ok()
    assert store.apply(rig.request(1, route("b"))).is_ok()
    rig.platform.entries.pop(log_key(1))
    assert isinstance(store.apply(req).err_value, OutcomeUnknown)
    assert store.tree.revision == 2


def test_a_partly_wrong_change_changes_nothing(rig):
    store = rig.store()
    for wrong in (
        [route("a"), route("no/parent")],
        [route("a"), route("a", max_age_ms=1)],
        [route("a"), route("b", weight=0)],
        [route("a"), route("b", key_digests="0" * 64)],
        [route("a"), Branch(kind=BranchKind.ROOT, path="b", settings=BranchSettings())],
    ):
        assert isinstance(store.apply(rig.request(0, *wrong)).err_value, InvalidSettings)
    assert store.tree.revision == 0
    assert not rig.platform.entries


def test_a_tree_larger_than_a_value_is_split_and_reaches_a_new_instance(rig):
    digests = " ".join("0" * 64 for _ in range(100))
    branches = [
        Branch(BranchKind.WORKSPACE, f"w{n:04}", BranchSettings(key_digests=digests))
        for n in range(300)
    ]
    one = rig.store()
    assert one.apply(rig.request(0, *branches)).is_ok()
    assert max(len(entry.value) for entry in rig.platform.entries.values()) <= 2 * MAX_VALUE_BYTES
    for revision in range(1, SNAPSHOT_INTERVAL_CHANGES + 3):
        assert one.apply(rig.request(revision, route("r", max_age_ms=revision))).is_ok()
    late = rig.store()
    assert late.load().is_ok()
    assert late.tree.tree.branches == one.tree.tree.branches
    assert late.tree.chain == one.tree.chain
    assert not [key for key in rig.platform.entries if key.startswith("settings/intent/")]


def test_parts_whose_writer_ended_are_deleted_and_others_kept(rig):
    store = rig.store()
    store._log._write_parts("gone", 7, [route("a")])
    assert store.apply(rig.request(0, route("a"))).is_ok()
    rig.clock.advance(7200)
    snapshot = store._log.read_snapshot().ok_value
    store._log.delete_abandoned_parts(snapshot)
    kept = [key for key in rig.platform.entries if not key.startswith("settings/log/")]
    assert kept == []


def test_what_the_platform_lost_is_written_again_and_nothing_reverts(rig):
    one, fresh = rig.store(), rig.store()
    one.apply(rig.request(0, route("a"), change_id="kept"))
    backup = rig.platform.backup()
    one.apply(rig.request(1, route("b"), change_id="lost-1"))
    one.apply(rig.request(2, route("c"), change_id="lost-2"))
    rig.platform.restore(backup)
    assert one.load().is_ok()
    assert one.tree.revision == 3
    assert fresh.load().is_ok()
    assert ids(fresh) == ["kept", "lost-1", "lost-2"]


def test_changes_accepted_by_a_platform_that_lost_others_are_joined_with_them(rig):
    one, fresh = rig.store(), rig.store()
    one.apply(rig.request(0, route("a"), change_id="kept"))
    backup = rig.platform.backup()
    one.apply(rig.request(1, route("b"), change_id="lost-1"))
    one.apply(rig.request(2, route("c"), change_id="lost-2"))
    rig.platform.restore(backup)
    fresh.apply(rig.request(1, route("d"), change_id="meanwhile"))
    assert one.load().is_ok()
    assert fresh.load().is_ok()
    assert ids(fresh) == ids(one) == ["kept", "meanwhile", "lost-1", "lost-2"]
    assert fresh.tree.tree.branches == one.tree.tree.branches


def test_age_counts_from_when_the_platform_was_asked(rig):
    store = rig.store()
    store.apply(rig.request(0, route("a")))
    version = store.load().ok_value
    rig.clock.advance(3)
    assert store.age_ms == pytest.approx(3000)
    assert store.watch_once(version).is_ok()
    assert store.age_ms == 0
    rig.platform.down = True
    rig.clock.advance(5)
    assert store.watch_once(version).is_err()
    assert store.age_ms == pytest.approx(5000)


def test_history_is_kept_for_most_of_a_day_of_changes():
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
    with pytest.raises(InvalidSettings) as refused:
        parse_branches(text, "tree.ini")
    assert [error.place for error in refused.value.errors] == [f"tree.ini {place}"]


TREE = """
[root]
deadline_ms = 700
[branch steppe]
max_age_ms = 50
[route steppe/offers]
group = g
"""


def test_each_value_is_shown_with_the_branch_that_it_comes_from():
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
