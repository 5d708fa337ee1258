"""Differences between two variants that were played with the same seeds."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np

__all__ = ["Difference", "bootstrap_interval", "compare_pairs", "render_table"]

# Resamples for a confidence interval; its ends then vary by less than the third digit shown.
RESAMPLES = 4000
CONFIDENCE = 0.95
RESAMPLING_SEED = 1
# Amounts below this in both variants are left out of a table.
SMALLEST_SHOWN = 0.0005


@dataclass(frozen=True)
class Difference:
    """Mean difference of an amount between two variants, with its confidence interval."""

    name: str
    before: float
    after: float
    mean: float
    low: float
    high: float
    count: int


def bootstrap_interval(differences: Sequence[float]) -> tuple[float, float]:
    """Return the confidence interval of a mean, by resampling.

    Examples
    --------
    >>> bootstrap_interval([0.1, 0.1, 0.1])
    (0.1, 0.1)
    """
    values = np.array(differences)
    rng = np.random.default_rng(RESAMPLING_SEED)
    means = rng.choice(values, (RESAMPLES, len(values))).mean(axis=1)
    tail = (1 - CONFIDENCE) / 2
    low, high = np.quantile(means, [tail, 1 - tail])
    return round(float(low), 6), round(float(high), 6)


def compare_pairs(name: str, before: Sequence[float], after: Sequence[float]) -> Difference:
    """Return the mean difference of an amount over paired runs.

    Examples
    --------
    >>> row = compare_pairs("worth", [0.5, 0.7], [0.6, 0.8])
    >>> round(row.mean, 3), row.count
    (0.1, 2)
    """
    differences = [b - a for a, b in zip(before, after, strict=True)]
    low, high = bootstrap_interval(differences)
    count = len(differences)
    return Difference(
        name, sum(before) / count, sum(after) / count, sum(differences) / count, low, high, count
    )


def render_table(rows: Iterable[Difference]) -> str:
    """Return a Markdown table of the differences, without amounts that are 0 in both variants."""
    lines = [
        "| | runs | before | after | difference | 95 % interval |",
        "|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {row.name} | {row.count} | {row.before:.3f} | {row.after:.3f} | {row.mean:+.3f} "
        f"| {row.low:+.3f} to {row.high:+.3f} |"
        for row in rows
        if max(abs(row.before), abs(row.after)) >= SMALLEST_SHOWN
    ]
    return "\n".join(lines)
