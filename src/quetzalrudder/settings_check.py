"""Checks a settings tree beyond its format: what has no effect, what contradicts, what changes.

Serves operators before a tree is sent: a valid tree can still refuse every caller of a route,
state values that nothing uses, or change more branches than the one that was edited.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from quetzalrudder.access import may_use
from quetzalrudder.schema.settings import Branch, BranchKind, BranchSettings, Tree
from quetzalrudder.settings import ROOT_DEFAULTS, SettingsTree, parent_path, section_name
from quetzalrudder.settings_findings import Finding, FindingKind, Place, Severity
from quetzalrudder.watching import MAX_SETTINGS_AGE_MS

__all__ = ["check_branches_together", "compare_branches"]

# Settings in force at the route of a request, and at the workspace of its caller. Keys are in
# neither: they are read from the workspace's own branch and not inherited.
ROUTE_SETTINGS = frozenset(
    {
        "group",
        "open",
        "max_age_ms",
        "deadline_ms",
        "cost",
        "confirm_majority",
        "replica_wait_ms",
        "transaction_max_ms",
        "transaction_idle_ms",
    }
)
WORKSPACE_SETTINGS = frozenset({"rate_per_s", "burst", "weight", "key_view_max_age_ms"})
# Callers without a key share the rate at the root.
ANONYMOUS_SETTINGS = frozenset({"rate_per_s", "burst"})
KEYS = "key_digests"
SETTING_NAMES = tuple(field.name for field in dataclasses.fields(BranchSettings))


def check_branches_together(branches: list[Branch], file: str) -> list[Finding]:
    r"""Return warnings about valid branches: what has no effect, and what contradicts.

    Examples
    --------
    >>> from quetzalrudder.settings import parse_branches
    >>> tree = "[route offers]\nopen = true\ngroup = g\n[workspace a]\nrate_per_s = 0\n"
    >>> [str(finding) for finding in check_branches_together(parse_branches(tree), "tree.ini")]
    ['warning: tree.ini [workspace a] rate_per_s: no rate refills the burst of 200']
    """
    indexed = _IndexedTree(branches, file)
    findings = [
        *_check_reachable(indexed),
        *_check_unused(indexed),
        *_check_rates(indexed),
        *_check_times(indexed),
        *_check_key_ages(indexed),
    ]
    return _merge(findings)


def compare_branches(before: list[Branch], after: list[Branch], file: str) -> list[Finding]:
    """Return what the branches after a change differ in, with the inherited effects."""
    old, new = _IndexedTree(before, file), _IndexedTree(after, file)
    findings: list[Finding] = []
    for path in sorted(old.by_path.keys() | new.by_path.keys()):
        old_branch, new_branch = old.by_path.get(path), new.by_path.get(path)
        if old_branch and new_branch and old_branch.kind is new_branch.kind:
            findings += _compare_branch(old, new, path)
            continue
        if old_branch:
            place = Place(file, section_name(old_branch))
            kind = FindingKind.BRANCH_REMOVED
            findings.append(Finding(Severity.CHANGE, kind, place, "removed"))
        if new_branch:
            place = Place(file, section_name(new_branch))
            kind = FindingKind.BRANCH_ADDED
            findings.append(Finding(Severity.CHANGE, kind, place, "added"))
    return findings


class _IndexedTree:
    """Branches by path, with what they inherit and which of them use a setting."""

    def __init__(self, branches: list[Branch], file: str) -> None:
        self.file = file
        self.by_path = {branch.path: branch for branch in branches}
        self._stated = {branch.path: _stated(branch.settings) for branch in branches}
        self.settings = SettingsTree(Tree(branches=branches))
        self.routes = [b.path for b in branches if b.kind is BranchKind.ROUTE]
        self.workspaces = [b.path for b in branches if b.kind is BranchKind.WORKSPACE]
        self.open_routes = {path for path in self.routes if self.settings.effective(path).open}

    def section(self, path: str) -> str:
        branch = self.by_path.get(path)
        return section_name(branch) if branch else "root"

    def stated(self, path: str) -> dict[str, object]:
        """Return the settings that a branch states itself, by name."""
        return self._stated.get(path, {})

    def origin(self, path: str, *names: str) -> Place | None:
        """Return the nearest place at or above a path that states one of the settings."""
        while True:
            stated = self.stated(path)
            for name in names:
                if name in stated:
                    return Place(self.file, self.section(path), name)
            if path == "":
                return None
            path = parent_path(path)

    def readers(self) -> Iterator[tuple[str, frozenset[str]]]:
        """Yield the paths at which requests look up settings, and the names of these."""
        yield from ((path, ROUTE_SETTINGS) for path in self.routes)
        yield from ((path, WORKSPACE_SETTINGS) for path in self.workspaces)
        if self.open_routes:
            yield "", ANONYMOUS_SETTINGS

    def readers_below(self, path: str) -> Iterator[tuple[str, frozenset[str]]]:
        """Yield the readers at and below a path."""
        match self.by_path[path].kind:
            case BranchKind.ROUTE:
                yield path, ROUTE_SETTINGS
            case BranchKind.WORKSPACE:
                yield path, WORKSPACE_SETTINGS
            case _:
                readers = self.readers()
                yield from (r for r in readers if path == "" or r[0].startswith(f"{path}/"))

    def usable_routes(self, workspace: str) -> list[str]:
        """Return the routes that a workspace, or callers without a key, may use."""
        return [p for p in self.routes if p in self.open_routes or may_use(workspace, p)]

    def warning(self, kind: FindingKind, place: Place, message: str, path: str) -> Finding:
        return Finding(Severity.WARNING, kind, place, message, (self.section(path),))


def _stated(settings: BranchSettings | None) -> dict[str, object]:
    values = ((name, getattr(settings, name, None)) for name in SETTING_NAMES)
    return {name: value for name, value in values if value is not None}


def _check_reachable(tree: _IndexedTree) -> Iterator[Finding]:
    workspace_parents = {parent_path(path) for path in tree.workspaces}
    route_parents = {parent_path(path) for path in tree.routes}
    for path in tree.routes:
        place = Place(tree.file, tree.section(path))
        if not tree.settings.effective(path).group:
            message = "no database group is set here or above, so every request is refused"
            yield tree.warning(FindingKind.ROUTE_WITHOUT_GROUP, place, message, path)
        if path not in tree.open_routes and parent_path(path) not in workspace_parents:
            message = "no caller may use it: it is not open, and no workspace is beside it"
            yield tree.warning(FindingKind.ROUTE_WITHOUT_CALLERS, place, message, path)
    for path in tree.workspaces:
        if not tree.open_routes and parent_path(path) not in route_parents:
            place = Place(tree.file, tree.section(path))
            message = "it may use no route: none is beside it, and none is open"
            yield tree.warning(FindingKind.WORKSPACE_WITHOUT_ROUTES, place, message, path)


def _check_unused(tree: _IndexedTree) -> Iterator[Finding]:
    used = {tree.origin(path, name) for path, names in tree.readers() for name in names}
    for path, branch in tree.by_path.items():
        inherited = tree.settings.effective(parent_path(path)) if path else ROOT_DEFAULTS
        for name, value in tree.stated(path).items():
            place = Place(tree.file, tree.section(path), name)
            if name == KEYS and branch.kind is BranchKind.WORKSPACE:
                continue
            if place not in used:
                message = _unused_message(branch.kind, name)
                yield tree.warning(FindingKind.UNUSED_SETTING, place, message, path)
            elif value == getattr(inherited, name):
                message = f"{_format(value)} is what the branch inherits"
                yield tree.warning(FindingKind.SAME_AS_INHERITED, place, message, path)


def _unused_message(kind: BranchKind, name: str) -> str:
    if name == KEYS:
        return "only workspaces have keys, and keys are not inherited"
    if kind in (BranchKind.ROUTE, BranchKind.WORKSPACE):
        return f"a {kind.name.lower()} does not use this setting"
    reader = "route" if name in ROUTE_SETTINGS else "workspace"
    return f"no {reader} below uses this value"


def _check_rates(tree: _IndexedTree) -> Iterator[Finding]:
    callers = [*tree.workspaces, *([""] if tree.open_routes else [])]
    costs = {path: tree.settings.effective(path).cost or 0.0 for path in tree.routes}
    costliest = {
        parent: max(tree.usable_routes(path), key=costs.__getitem__, default=None)
        for parent, path in {_caller_group(path): path for path in callers}.items()
    }
    for path in callers:
        settings = tree.settings.effective(path)
        route = costliest[_caller_group(path)]
        burst = settings.burst or 0
        if route is not None and costs[route] > burst:
            place = tree.origin(path, "burst") or tree.origin(route, "cost")
            message = (
                f"a burst of {burst} never admits a statement of [{tree.section(route)}], "
                f"which costs {_format(costs[route])}"
            )
            place = place or Place(tree.file, tree.section(path), "burst")
            yield tree.warning(FindingKind.BURST_BELOW_COST, place, message, path)
        if burst and not settings.rate_per_s:
            place = tree.origin(path, "rate_per_s") or Place(tree.file, tree.section(path))
            message = f"no rate refills the burst of {burst}"
            yield tree.warning(FindingKind.RATE_ZERO, place, message, path)


def _caller_group(path: str) -> str | None:
    """Return what callers with the same usable routes have in common."""
    return parent_path(path) if path else None


def _check_times(tree: _IndexedTree) -> Iterator[Finding]:
    for path in tree.routes:
        settings = tree.settings.effective(path)
        wait_ms, deadline_ms = settings.replica_wait_ms, settings.deadline_ms
        place = tree.origin(path, "replica_wait_ms", "deadline_ms")
        if place and wait_ms >= deadline_ms:
            message = (
                f"a read may wait {wait_ms} ms for a target, which leaves nothing of its "
                f"deadline_ms of {deadline_ms}"
            )
            yield tree.warning(FindingKind.WAIT_BEYOND_DEADLINE, place, message, path)
        idle_ms, max_ms = settings.transaction_idle_ms, settings.transaction_max_ms
        place = tree.origin(path, "transaction_idle_ms", "transaction_max_ms")
        if place and idle_ms >= max_ms:
            message = (
                f"transaction_idle_ms of {idle_ms} never takes effect, as a transaction lasts "
                f"at most {max_ms} ms"
            )
            yield tree.warning(FindingKind.IDLE_BEYOND_DURATION, place, message, path)


def _check_key_ages(tree: _IndexedTree) -> Iterator[Finding]:
    for path in tree.workspaces:
        max_age_ms = tree.settings.effective(path).key_view_max_age_ms
        place = tree.origin(path, "key_view_max_age_ms")
        if place and 0 < max_age_ms < MAX_SETTINGS_AGE_MS:
            message = (
                f"{max_age_ms} ms may refuse requests without a fault: an instance counts a "
                f"confirmation of its keys as late only after {MAX_SETTINGS_AGE_MS} ms"
            )
            yield tree.warning(FindingKind.KEY_AGE_TOO_LOW, place, message, path)


def _merge(findings: Iterable[Finding]) -> list[Finding]:
    """Join findings that differ only in the branches for which they hold."""
    merged: dict[tuple[FindingKind, Place, str], Finding] = {}
    for finding in findings:
        key = (finding.kind, finding.place, finding.message)
        first = merged.get(key)
        affects = (*first.affects, *finding.affects) if first else finding.affects
        merged[key] = dataclasses.replace(finding, affects=affects)
    return list(merged.values())


def _compare_branch(old: _IndexedTree, new: _IndexedTree, path: str) -> Iterator[Finding]:
    old_stated, new_stated = old.stated(path), new.stated(path)
    for name in SETTING_NAMES:
        if old_stated.get(name) == new_stated.get(name):
            continue
        place = Place(new.file, new.section(path), name)
        message = (
            _compare_keys(old_stated.get(name), new_stated.get(name))
            if name == KEYS
            else f"from {_in_force(old, path, name)} to {_in_force(new, path, name)}"
        )
        affects = tuple(_changed_readers(old, new, place, path))
        yield Finding(Severity.CHANGE, FindingKind.SETTING_CHANGED, place, message, affects)


def _changed_readers(
    old: _IndexedTree, new: _IndexedTree, place: Place, path: str
) -> Iterator[str]:
    """Yield the sections where the value in force changes because of a change at a place."""
    name = place.key
    for reader, names in new.readers_below(path):
        if name not in names or (reader and reader not in old.by_path):
            continue
        before = getattr(old.settings.effective(reader), name)
        after = getattr(new.settings.effective(reader), name)
        if before != after and place in (old.origin(reader, name), new.origin(reader, name)):
            yield new.section(reader)


def _compare_keys(before: object, after: object) -> str:
    old, new = set(str(before or "").split()), set(str(after or "").split())
    return f"{len(new - old)} added, {len(old - new)} withdrawn, {len(new & old)} kept"


def _in_force(tree: _IndexedTree, path: str, name: str) -> str:
    text = _format(getattr(tree.settings.effective(path), name))
    if name in tree.stated(path):
        return text
    origin = tree.origin(path, name)
    return f"{text} (inherited from [{origin.section}])" if origin else f"{text} (default)"


def _format(value: object) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return str(value).lower()
        case float():
            return f"{value:.12g}"
        case _:
            return str(value)
