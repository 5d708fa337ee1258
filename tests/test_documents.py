import re
import shlex
import subprocess
import sys

import pytest

from quetzalrudder.ctl import main as ctl
from quetzalrudder.schema.common import ErrorCode
from standins.demo import STEPPE_SETTINGS
from standins.fleet import ROOT

ERRORS = (ROOT / "docs/operators/errors.md").read_text(encoding="utf-8")
CODES = [code.name for code in ErrorCode if code.value]


@pytest.mark.parametrize("code", CODES)
def test_every_error_code_is_on_the_errors_page_once(code):
    assert len(re.findall(rf"^\| `{code}` \|", ERRORS, re.MULTILINE)) == 1


def test_settings_reference_is_as_generated():
    result = subprocess.run(
        [sys.executable, "tools/settings_reference.py", "--check"],
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT}/src"},
        capture_output=True,
        check=False,
    )
    assert result.returncode == 0, result.stdout


def test_links_between_pages_resolve():
    pages = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *(ROOT / "docs").rglob("*.md")]
    for page in pages:
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8")):
            assert (page.parent / link).exists(), (page.name, link)


def documented_commands():
    """Yield the commands of quetzalrudderctl in the order of the pages, without comments."""
    for page in ("docs/operators/install.md", "README.md", "docs/operators/keys.md"):
        for line in (ROOT / page).read_text(encoding="utf-8").splitlines():
            if line.startswith("    quetzalrudderctl "):
                yield page, line.strip()


def test_each_documented_command_runs(fleet, tmp_path, monkeypatch, capsys):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "tree.ini").write_text(STEPPE_SETTINGS, encoding="utf-8")
    control = f"--control={fleet.control_addresses['astana-a-1']}"
    key = ""
    command_count = 0
    for page, line in documented_commands():
        args = shlex.split(line.replace("<key or start of its digest>", key or "none"))[1:]
        args = [arg for arg in args if not arg.startswith("--control=")]
        assert ctl([*args, control]) == 0, (page, line, capsys.readouterr().err)
        output = capsys.readouterr().out.strip()
        if args[:2] == ["key", "grant"]:
            key = output.splitlines()[0]
        command_count += 1
    assert command_count >= 10
