import dataclasses
import json

import pytest

from quetzalrudder.ctl import main as ctl
from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.schema.settings import BranchSettings
from quetzalrudder.settings import parse_branches
from quetzalrudder.settings_check import (
    KEYS,
    ROUTE_SETTINGS,
    WORKSPACE_SETTINGS,
    check_branches_together,
    compare_branches,
)
from quetzalrudder.settings_findings import FindingKind, error_findings
from standins.fleet import ROOT

CLEAN = "[route r]\ngroup = g\n[workspace w]\n"
OPEN = "[route r]\ngroup = g\nopen = true\n"


def check(text):
    findings = check_branches_together(parse_branches(text, "t"), "t")
    return [(finding.kind, str(finding.place), finding.affects) for finding in findings]


def changes(before, after):
    return compare_branches(parse_branches(before, "o"), parse_branches(after, "t"), "t")


def test_every_setting_is_known_to_the_check():
    names = {field.name for field in dataclasses.fields(BranchSettings)}
    assert names == ROUTE_SETTINGS | WORKSPACE_SETTINGS | {KEYS}


@pytest.mark.parametrize(
    "text", [CLEAN, OPEN, "[root]\nburst = 7\nrate_per_s = 9\n" + OPEN, CLEAN + "rate_per_s = 5\n"]
)
def test_trees_in_which_everything_has_an_effect_have_no_findings(text):
    assert check(text) == []


@pytest.mark.parametrize(
    ("text", "kind", "place", "affects"),
    [
        ("[route r]\nopen = true\n", "ROUTE_WITHOUT_GROUP", "[route r]", "route r"),
        ("[route r]\ngroup = g\n", "ROUTE_WITHOUT_CALLERS", "[route r]", "route r"),
        (
            CLEAN + "[branch b]\n[workspace b/v]\n",
            "WORKSPACE_WITHOUT_ROUTES",
            "[workspace b/v]",
            "workspace b/v",
        ),
        (CLEAN + "max_age_ms = 5\n", "UNUSED_SETTING", "[workspace w] max_age_ms", "workspace w"),
        (OPEN + "burst = 5\n", "UNUSED_SETTING", "[route r] burst", "route r"),
        (CLEAN + "[branch b]\nburst = 5\n", "UNUSED_SETTING", "[branch b] burst", "branch b"),
        ("[root]\ngroup = h\n" + CLEAN, "UNUSED_SETTING", "[root] group", "root"),
        (
            f"[root]\nkey_digests = {'0' * 64}\n" + CLEAN,
            "UNUSED_SETTING",
            "[root] key_digests",
            "root",
        ),
        (CLEAN + "burst = 200\n", "SAME_AS_INHERITED", "[workspace w] burst", "workspace w"),
        ("[root]\ndeadline_ms = 2000\n" + CLEAN, "SAME_AS_INHERITED", "[root] deadline_ms", "root"),
        (CLEAN + "burst = 0\n", "BURST_BELOW_COST", "[workspace w] burst", "workspace w"),
        (OPEN + "cost = 201\n", "BURST_BELOW_COST", "[route r] cost", "root"),
        ("[root]\nrate_per_s = 0\n" + CLEAN, "RATE_ZERO", "[root] rate_per_s", "workspace w"),
        (
            CLEAN + "key_view_max_age_ms = 3499\n",
            "KEY_AGE_TOO_LOW",
            "[workspace w] key_view_max_age_ms",
            "workspace w",
        ),
        (OPEN + "deadline_ms = 20\n", "WAIT_BEYOND_DEADLINE", "[route r] deadline_ms", "route r"),
        (
            OPEN + "transaction_max_ms = 5000\n",
            "IDLE_BEYOND_DURATION",
            "[route r] transaction_max_ms",
            "route r",
        ),
    ],
)
def test_each_warning_names_its_place_and_the_branches_it_holds_for(text, kind, place, affects):
    assert check(text) == [(FindingKind[kind], f"t {place}", (affects,))]


@pytest.mark.parametrize(
    "text",
    [
        CLEAN + "key_view_max_age_ms = 0\n",
        CLEAN + "key_view_max_age_ms = 3500\n",
        OPEN + "cost = 200\n",
        OPEN + "deadline_ms = 21\n",
        OPEN + "transaction_max_ms = 5001\n",
    ],
)
def test_limits_that_still_fit_are_no_contradiction(text):
    assert check(text) == []


def test_one_value_that_contradicts_for_many_workspaces_is_one_finding():
    text = "[root]\nrate_per_s = 0\n" + CLEAN + "[workspace x]\n"
    assert check(text) == [
        (FindingKind.RATE_ZERO, "t [root] rate_per_s", ("workspace w", "workspace x"))
    ]


@pytest.mark.parametrize(
    ("text", "place"),
    [("[root]\nweight = x\n", ("t", "root", "weight")), ("no section", ("t", "", ""))],
)
def test_errors_of_the_parser_are_findings_with_a_place(text, place):
    with pytest.raises(InvalidSettings) as raised:
        parse_branches(text, "t")
    (finding,) = error_findings(raised.value, "t")
    assert finding.kind is FindingKind.INVALID
    assert dataclasses.astuple(finding.place) == place


def test_change_names_old_and_new_value_and_the_branches_that_inherit_it():
    before = "[branch b]\ndeadline_ms = 700\n[route b/r]\n[route b/s]\ndeadline_ms = 50\n"
    (changed,) = changes(before, before.replace("700", "900"))
    assert changed.kind is FindingKind.SETTING_CHANGED
    assert str(changed) == "change: t [branch b] deadline_ms: from 700 to 900; for [route b/r]"
    (dropped,) = changes(before, before.replace("deadline_ms = 700\n", ""))
    assert dropped.message == "from 700 to 2000 (default)"
    (stated,) = changes(CLEAN, CLEAN + "burst = 200\n")
    assert (stated.message, stated.affects) == ("from 200 (default) to 200", ())


def test_branches_added_removed_and_of_another_kind_are_changes():
    found = changes("[route a]\n[route b]\n", "[workspace a]\n[route c]\n")
    assert [(finding.kind, finding.place.section) for finding in found] == [
        (FindingKind.BRANCH_REMOVED, "route a"),
        (FindingKind.BRANCH_ADDED, "workspace a"),
        (FindingKind.BRANCH_REMOVED, "route b"),
        (FindingKind.BRANCH_ADDED, "route c"),
    ]
    assert changes(CLEAN, CLEAN) == []


def test_changed_keys_are_counted_and_not_printed():
    old, kept, new = "0" * 64, "1" * 64, "2" * 64
    (finding,) = changes(
        f"[workspace w]\nkey_digests = {old} {kept}\n",
        f"[workspace w]\nkey_digests = {kept} {new}\n",
    )
    assert finding.message == "1 added, 1 withdrawn, 1 kept"


def run(args, capsys):
    code = ctl(["settings", "check", *map(str, args)])
    return code, capsys.readouterr()


def test_command_prints_findings_and_fails_on_warnings_only_if_asked(tmp_path, capsys):
    file, other = tmp_path / "tree.ini", tmp_path / "other.ini"
    file.write_text(CLEAN + "burst = 0\n", encoding="utf-8")
    other.write_text(CLEAN, encoding="utf-8")
    code, output = run([file, f"--against={other}", "--json"], capsys)
    assert code == 0
    report = json.loads(output.out)
    assert report["ok"] is True
    kinds = [(entry["severity"], entry["kind"], entry["key"]) for entry in report["findings"]]
    assert kinds == [
        ("warning", "burst_below_cost", "burst"),
        ("change", "setting_changed", "burst"),
    ]
    code, output = run([file, "--strict"], capsys)
    assert code == 1
    assert "[workspace w] burst" in output.out and "1 warnings" in output.err
    assert run([other, "--strict"], capsys)[0] == 0


def test_command_lists_errors_and_keeps_its_exit_status(tmp_path, capsys):
    file = tmp_path / "tree.ini"
    file.write_text("[root]\nweight = x\nburst = y\n", encoding="utf-8")
    code, output = run([file, "--json"], capsys)
    assert code == 1
    report = json.loads(output.out)
    assert report["ok"] is False
    assert [entry["key"] for entry in report["findings"]] == ["weight", "burst"]
    assert json.loads(output.err)["error"] == "invalid_settings"


def test_command_compares_with_the_tree_in_force(fleet, tmp_path, capsys):
    control = f"--control={fleet.control_addresses['astana-b-1']}"
    assert ctl(["settings", "show", control]) == 0
    file = tmp_path / "tree.ini"
    file.write_text(capsys.readouterr().out + "\n[route steppe/checked]\n", encoding="utf-8")
    code, output = run([file, "--in_force", control], capsys)
    assert code == 0
    lines = [line for line in output.out.splitlines() if line.startswith("change: ")]
    assert lines == [f"change: {file} [route steppe/checked]: added"]


@pytest.mark.parametrize("page", ["docs/OPERATIONS.md", "docs/operators/settings.md"])
def test_each_kind_is_in_the_table_of_the_pages(page):
    text = (ROOT / page).read_text(encoding="utf-8")
    assert [kind for kind in FindingKind if f"`{kind.name.lower()}`" not in text] == []
