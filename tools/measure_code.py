"""Counts lines of Python code by folder, and the share of modules that make decisions.

``measure_code.py [ROOT]`` prints the counts; generated code is not counted.
"""

import sys
from pathlib import Path

GENERATED = "src/quetzalrudder/schema"
FOLDERS = ("src", "platform", "standins", "tests", "bench", "tools")

# Subject of the decisions that each module of the package makes; modules that are not
# listed make none.
DECISIONS = {
    "access": "access rights and withdrawal of keys",
    "admission": "fair queueing and refusals",
    "election": "promotion",
    "failover": "promotion",
    "gateway/attempts": "retries and endings",
    "gateway/connections": "connections to targets",
    "gateway/coordinator_lease": "promotion",
    "gateway/failover": "promotion",
    "gateway/freshness": "routing",
    "gateway/primaries": "promotion",
    "gateway/members": "membership",
    "gateway/membership": "membership",
    "gateway/peering": "recovery",
    "gateway/permission": "promotion",
    "gateway/placement": "routing",
    "gateway/promotion_rules": "promotion",
    "gateway/quotas": "limits",
    "gateway/running": "retries and endings",
    "gateway/sessions": "state of sessions",
    "gateway/suspicion": "promotion",
    "gateway/targets": "state of targets",
    "gateway/transactions": "retries and endings",
    "gossip": "membership",
    "groups": "state of targets",
    "ledger": "limits",
    "limits": "limits",
    "membership": "membership",
    "permits": "limits",
    "pool": "connections to targets",
    "promotion": "promotion",
    "proposer": "promotion",
    "rates": "limits",
    "recovery": "recovery",
    "retries": "retries and endings",
    "routing": "routing",
    "settings": "state of settings",
    "settings_log": "state of settings",
    "settings_store": "state of settings",
    "share_exchange": "limits",
    "shares": "limits",
    "spreading": "state of settings",
    "statements": "retries and endings",
    "suspicion": "promotion",
    "tokens": "state of sessions",
    "transactions": "retries and endings",
    "writes": "retries and endings",
}


def count_lines(path: Path) -> int:
    """Return the number of non-blank lines of a file."""
    return sum(1 for line in path.read_text(encoding="utf-8").splitlines() if line.strip())


def source_files(root: Path, folder: str) -> list[Path]:
    """Return the Python files of a folder, without generated ones."""
    generated = root / GENERATED
    return [path for path in sorted((root / folder).rglob("*.py")) if generated not in path.parents]


def main(argv: list[str]) -> int:
    """Print the line counts."""
    root = Path(argv[0] if argv else ".")
    totals = {
        folder: sum(count_lines(path) for path in source_files(root, folder)) for folder in FOLDERS
    }
    total = sum(totals.values())
    for folder, lines in totals.items():
        print(f"{folder:10} {lines:7}  {lines / total:6.1%}")
    package_dir = root / "src/quetzalrudder"
    lines_by_module = {
        path.relative_to(package_dir).with_suffix("").as_posix(): count_lines(path)
        for path in source_files(root, "src")
    }
    decisions = {name: lines for name, lines in lines_by_module.items() if name in DECISIONS}
    share = sum(decisions.values()) / sum(lines_by_module.values())
    print(f"decisions in the package: {sum(decisions.values())} lines, {share:.1%}")
    for name, lines in sorted(decisions.items()):
        print(f"  {name:24} {lines:5}  {DECISIONS[name]}")
    print(
        "modules without decisions:", ", ".join(sorted(lines_by_module.keys() - decisions.keys()))
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
