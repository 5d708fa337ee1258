"""How long an instance of a large fleet lets changes of the store gather.

Serves fleets in which one event makes many instances write, for instance a restart or the
acknowledgements of a new primary. Each answered watch costs a call by each instance that
watches the store.
"""

__all__ = ["batch_delay_s"]

# Pause after changes that statements or a failover wait for. Only the instances that watch the
# store for others pause, but all of the others wait for them.
SHORT_DELAY_S = 0.1
# Pause after changes of membership only. The owners of rates and connections take over by
# calls, and an instance that was lost is avoided after the first failed call.
LONG_DELAY_S = 1.0


def batch_delay_s(
    keys: list[str], *, is_large: bool, is_urgent: bool, membership_prefixes: tuple[str, ...]
) -> float:
    """Return for how many seconds to pause before the next watch.

    Parameters
    ----------
    keys : list of str
        The keys that have changed.
    is_large : bool
        True if so many instances watch the store that their calls matter.
    is_urgent : bool
        True while a primary is suspected or replaced.
    membership_prefixes : tuple of str
        Prefixes of the keys that instances write about themselves.

    Examples
    --------
    >>> members = ("members/",)
    >>> batch_delay_s(["members/a"], is_large=True, is_urgent=False, membership_prefixes=members)
    1.0
    >>> batch_delay_s(["members/a"], is_large=True, is_urgent=True, membership_prefixes=members)
    0.1
    """
    if not is_large:
        return 0.0
    if is_urgent or not all(key.startswith(membership_prefixes) for key in keys):
        return SHORT_DELAY_S
    return LONG_DELAY_S
