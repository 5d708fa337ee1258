"""Division of a database's slots among the owners of its connections.

Serves owners whose parts are not whole: if each rounds up, 2 owners of 5 slots send 6 statements
at once, and the database refuses one of them. An owner that uses more than its part while the
other does not need them is not told when that changes: it refills each slot that it frees, and
only the other owner's statements are refused. So the parts are fixed, and workspaces are
assigned to the owners in proportion.
"""

__all__ = ["slot_parts"]


def slot_parts(slots: int, owners: int) -> list[int]:
    """Return the slots of each owner, in the owners' order; at least one each.

    Examples
    --------
    >>> slot_parts(5, 2), slot_parts(1, 2), slot_parts(5, 0)
    ([3, 2], [1, 1], [])
    """
    return [max(1, (slots + owners - 1 - index) // owners) for index in range(owners)]
