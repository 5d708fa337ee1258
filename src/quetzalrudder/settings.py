"""The settings tree: branches, written as INI sections, that inherit from their parents.

A section header gives the kind of the branch and its path::

    [root]
    deadline_ms = 2000

    [branch steppe]
    max_age_ms = 500

    [route steppe/comparables]
    group = valuation-1

    [workspace steppe/almaty]
    rate_per_s = 100
"""

import bisect
import dataclasses
from collections.abc import Iterable

from quetzalrudder.exceptions import InvalidSettings, QuetzalrudderError
from quetzalrudder.ini import SettingsErrors, check_values, fill_message, read_ini
from quetzalrudder.models import RouteName, WorkspaceId
from quetzalrudder.schema.settings import (
    Branch,
    BranchKind,
    BranchSettings,
    Change,
    Tree,
    TreeChange,
)

__all__ = [
    "ROOT_DEFAULTS",
    "SettingsTree",
    "branches_to_ini",
    "parse_branches",
]

ROOT_DEFAULTS = BranchSettings(
    open=False,
    max_age_ms=0,
    deadline_ms=2000,
    rate_per_s=1000.0,
    burst=200,
    weight=1.0,
    cost=1.0,
    confirm_majority=True,
    replica_wait_ms=20,
    key_view_max_age_ms=60_000,
    transaction_max_ms=30_000,
    transaction_idle_ms=5_000,
)

MAX_HISTORY_CHANGES = 1000
KIND_BY_NAME = {
    "root": BranchKind.ROOT,
    "branch": BranchKind.BRANCH,
    "workspace": BranchKind.WORKSPACE,
    "route": BranchKind.ROUTE,
}
NAME_BY_KIND = {kind: name for name, kind in KIND_BY_NAME.items()}


def _parse_section_name(section: str, place: str) -> tuple[BranchKind, str]:
    kind_name, _, path = section.partition(" ")
    path = path.strip()
    kind = KIND_BY_NAME.get(kind_name)
    if kind is None:
        known = ", ".join(KIND_BY_NAME)
        raise InvalidSettings(f"unknown branch kind; expected one of: {known}", place=place)
    if (kind is BranchKind.ROOT) != (path == ""):
        raise InvalidSettings(
            "[root] takes no path, and every other section requires one", place=place
        )
    if any(not part or part != part.strip() for part in path.split("/")) and path:
        raise InvalidSettings(
            "a path component is empty or has surrounding whitespace", place=place
        )
    return kind, path


def parse_branches(text: str, file: str = "settings") -> list[Branch]:
    r"""Parse and validate branches from INI text.

    Raises
    ------
    InvalidSettings
        The text is invalid. The exception lists every error, and no branch may be applied.

    Examples
    --------
    >>> [branch.path for branch in parse_branches("[root]\n[workspace almaty]\n")]
    ['', 'almaty']
    """
    parser = read_ini(text, file)
    branches: list[Branch] = []
    errors: list[QuetzalrudderError] = []
    for section in parser.sections():
        place = f"{file} [{section}]"
        try:
            kind, path = _parse_section_name(section, place)
        except InvalidSettings as exc:
            errors.append(exc)
            continue
        settings, section_errors = fill_message(BranchSettings(), parser[section], file)
        errors += section_errors
        branches.append(Branch(kind=kind, path=path, settings=settings))
    errors += check_branches(branches, file)
    if errors:
        raise SettingsErrors(errors)
    return branches


def check_branches(
    branches: list[Branch], file: str, changed: list[Branch] | None = None
) -> list[QuetzalrudderError]:
    """Validate branches, and check that paths are unique and parents exist.

    Parameters
    ----------
    branches : list of Branch
        All branches of the tree.
    file : str
        File name given in the errors.
    changed : list of Branch, optional
        Branches whose values and paths are checked; all if omitted. The parents of all
        branches are checked in any case.

    Returns
    -------
    list of QuetzalrudderError
        Every error found; empty if the branches are valid.
    """
    errors: list[QuetzalrudderError] = []
    parents = {branch.path for branch in branches if branch.kind is BranchKind.BRANCH} | {""}
    for branch in branches:
        parent = parent_path(branch.path)
        if branch.path and parent not in parents:
            place = f"{file} [{section_name(branch)}]"
            errors.append(InvalidSettings(f"parent [branch {parent}] does not exist", place=place))
    seen_paths: set[str] = set()
    for branch in branches if changed is None else changed:
        errors += _check_branch(branch, seen_paths, f"{file} [{section_name(branch)}]")
    return errors


def _check_branch(branch: Branch, seen_paths: set[str], place: str) -> list[QuetzalrudderError]:
    if branch.kind not in NAME_BY_KIND:
        return [InvalidSettings("unknown branch kind", place=branch.path)]
    errors: list[QuetzalrudderError] = []
    if (branch.kind is BranchKind.ROOT) != (branch.path == ""):
        errors.append(
            InvalidSettings("the root branch, and no other, has an empty path", place=place)
        )
    if branch.path in seen_paths:
        errors.append(InvalidSettings("duplicate path", place=place))
    seen_paths.add(branch.path)
    settings = branch.settings or BranchSettings()
    if branch.kind is BranchKind.ROUTE and settings.key_digests:
        errors.append(InvalidSettings("only workspaces have keys", place=f"{place} key_digests"))
    return errors + check_values(settings, place)


def section_name(branch: Branch) -> str:
    """Return the INI section name of a branch."""
    return f"{NAME_BY_KIND.get(branch.kind, 'unknown')} {branch.path}".strip()


def parent_path(path: str) -> str:
    """Return the path of the parent; the root's path is empty."""
    return path.rpartition("/")[0]


def _paths_from_root(path: str) -> list[str]:
    parts = path.split("/") if path else []
    return ["", *("/".join(parts[: n + 1]) for n in range(len(parts)))]


def branches_to_ini(branches: Iterable[Branch]) -> str:
    """Format branches as INI text that :func:`parse_branches` accepts."""
    lines: list[str] = []
    for branch in branches:
        lines.append(f"[{section_name(branch)}]")
        for field in dataclasses.fields(BranchSettings):
            value = getattr(branch.settings or BranchSettings(), field.name)
            if value is not None:
                text = str(value).lower() if isinstance(value, bool) else value
                lines.append(f"{field.name} = {text}")
        lines.append("")
    return "\n".join(lines)


class SettingsTree:
    """One revision of the settings tree, indexed by path.

    Parameters
    ----------
    tree : Tree
        The revision as stored in the platform.
    """

    def __init__(self, tree: Tree) -> None:
        self.tree = tree
        self._by_path = {branch.path: branch for branch in tree.branches}
        self._effective: dict[str, BranchSettings] = {}

    @property
    def revision(self) -> int:
        """Revision number; 0 before any change was accepted."""
        return self.tree.revision

    @property
    def chain(self) -> bytes:
        """Digest of all changes up to this revision."""
        return self.latest_change.chain

    @property
    def latest_change(self) -> Change:
        """The change that produced this revision; an empty one at revision 0."""
        return self.tree.history[-1] if self.tree.history else Change()

    def with_change(self, change: TreeChange) -> "SettingsTree":
        """Return the next revision, which results from a change to this one."""
        by_path = dict(self._by_path)
        for path in change.removed:
            by_path.pop(path, None)
        by_path.update((branch.path, branch) for branch in change.put)
        return SettingsTree(
            Tree(
                revision=change.change.revision,
                branches=[by_path[path] for path in sorted(by_path)],
                history=[*self.tree.history, change.change][-MAX_HISTORY_CHANGES:],
            )
        )

    def difference_to(self, branches: list[Branch]) -> tuple[list[Branch], list[str]]:
        """Return the branches to put and the paths to remove to obtain the given branches."""
        paths = {branch.path for branch in branches}
        put = [branch for branch in branches if self._by_path.get(branch.path) != branch]
        removed = [path for path in sorted(self._by_path) if path not in paths]
        return put, removed

    def branches_after(self, path: str | None, max_bytes: int) -> tuple[list[Branch], bool]:
        """Return the branches after a path, in the order of their paths, as one page.

        Parameters
        ----------
        path : str or None
            Last path of the previous page; None for the first page.
        max_bytes : int
            Maximum size of the page; a page has at least one branch, whatever its size.

        Returns
        -------
        tuple of (list of Branch, bool)
            The page, and whether it is the last one.
        """
        paths = sorted(self._by_path)
        start = 0 if path is None else bisect.bisect_right(paths, path)
        page: list[Branch] = []
        size = 0
        for branch_path in paths[start:]:
            size += len(bytes(self._by_path[branch_path]))
            if page and size > max_bytes:
                return page, False
            page.append(self._by_path[branch_path])
        return page, True

    def sources(self, path: str) -> dict[str, str]:
        """Return, for each setting in force at a path, the section that sets it.

        The source of a setting that no branch sets is ``(default)``.
        """
        sources = {
            field.name: "(default)"
            for field in dataclasses.fields(BranchSettings)
            if getattr(ROOT_DEFAULTS, field.name) is not None
        }
        for branch_path in _paths_from_root(path):
            branch = self._by_path.get(branch_path)
            if branch is not None and branch.settings is not None:
                names = (field.name for field in dataclasses.fields(BranchSettings))
                set_names = [name for name in names if getattr(branch.settings, name) is not None]
                sources.update(dict.fromkeys(set_names, section_name(branch)))
        return sources

    def workspace(self, workspace: WorkspaceId) -> Branch | None:
        """Return the branch of a workspace; None if there is none."""
        return self._find(workspace, BranchKind.WORKSPACE)

    def route(self, route: RouteName) -> Branch | None:
        """Return the branch of a route; None if there is none."""
        return self._find(route, BranchKind.ROUTE)

    def _find(self, path: str, kind: BranchKind) -> Branch | None:
        branch = self._by_path.get(path)
        return branch if branch is not None and branch.kind is kind else None

    def effective(self, path: str) -> BranchSettings:
        """Return the settings in force at a path, inherited ones included."""
        settings = self._effective.get(path)
        if settings is None:
            settings = self._inherit(path)
            self._effective[path] = settings
        return settings

    def _inherit(self, path: str) -> BranchSettings:
        parent = ROOT_DEFAULTS if path == "" else self.effective(parent_path(path))
        branch = self._by_path.get(path)
        if branch is None or branch.settings is None:
            return parent
        overrides = {
            field.name: getattr(branch.settings, field.name)
            for field in dataclasses.fields(BranchSettings)
            if getattr(branch.settings, field.name) is not None
        }
        return dataclasses.replace(parent, **overrides)
