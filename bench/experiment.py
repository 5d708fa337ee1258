"""Experiments on the model: variants of a policy under the same loads, faults and seeds.

    python -m bench.experiment run bench/experiments/power-loss.ini
    python -m bench.experiment plot bench/experiments/power-loss.ini out.png

A file states the fleet, the load and the faults, and variants that replace constants or
classes of the decisions. The product itself has no switch for them. The first variant is what
the others are compared with; one without replacements is the code as it is.
"""

import configparser
import importlib
import logging
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any, TypeVar

import fire

from bench.model import (
    Ending,
    FleetSettings,
    GroupSettings,
    Kind,
    Load,
    LoadSettings,
    ModelFleet,
    Results,
)
from bench.model import faults as fault_types
from bench.model.faults import Fault, schedule
from bench.model.load import make_catalog
from bench.paired import Difference, compare_pairs, render_table
from quetzalrudder.gateway import Consistency

__all__ = ["Experiment", "ExperimentError", "Summary", "Variant", "play", "read_experiment"]

T = TypeVar("T")

WARM_UP_S = 1.5
DEFAULT_JOBS = 3
FAULT_TYPE_BY_NAME = {
    "kill instances": fault_types.KillInstances,
    "lose primary": fault_types.LosePrimary,
    "store outage": fault_types.StoreOutage,
    "cut data centre": fault_types.CutDataCentre,
}


class ExperimentError(Exception):
    """An experiment's file is invalid; the message names the section and the key."""


@dataclass(frozen=True)
class Variant:
    """Replacements of attributes of modules, each given as ``module:attribute``."""

    name: str
    replacements: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Experiment:
    """Loads, faults, seeds and variants."""

    seconds: float
    seeds: tuple[int, ...]
    # Width of the spans of which the two worst are reported, in seconds.
    span_s: float
    fleet: FleetSettings
    load: LoadSettings
    faults: tuple[Fault, ...]
    variants: tuple[Variant, ...]


@dataclass(frozen=True)
class Summary:
    """What the callers of one run got."""

    variant: str
    seed: int
    amounts: dict[str, float]
    by_span: dict[float, float]


# Reading a file.


def read_experiment(path: Path) -> Experiment:
    """Read and check an experiment's file.

    Raises
    ------
    ExperimentError
        The file cannot be read, or a section, key or value is invalid.
    """
    parser = configparser.ConfigParser(delimiters=("=",))
    parser.optionxform = str
    try:
        if not parser.read(path, encoding="utf-8"):
            raise ExperimentError(f"{path}: cannot be read")
    except configparser.Error as exc:
        raise ExperimentError(f"{path}: {exc}") from exc
    general = _section(parser, "experiment")
    groups = _build(GroupSettings, "groups", _section(parser, "groups"))
    fleet = _section(parser, "fleet")
    data_centres = dict(_counts("fleet", fleet.pop("data_centres", "")))
    kinds = tuple(_read_kinds(parser))
    if not kinds:
        raise ExperimentError("no section [kind NAME]")
    return Experiment(
        seconds=_number("experiment", "seconds", general.pop("seconds", "10")),
        seeds=tuple(range(1, int(_number("experiment", "seeds", general.pop("seeds", "5"))) + 1)),
        span_s=_number("experiment", "span_s", general.pop("span_s", "2")),
        fleet=_build(FleetSettings, "fleet", fleet, data_centres=data_centres, groups=groups),
        load=_build(LoadSettings, "load", _section(parser, "load"), kinds=kinds),
        faults=tuple(_read_faults(parser)),
        variants=tuple(_read_variants(parser)) or (Variant("as it is"),),
    )


def _section(parser: configparser.ConfigParser, name: str) -> dict[str, str]:
    return dict(parser[name]) if parser.has_section(name) else {}


def _named_sections(
    parser: configparser.ConfigParser, prefix: str
) -> Iterator[tuple[str, str, dict[str, str]]]:
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind == prefix and name:
            yield section, name, dict(parser[section])


def _read_kinds(parser: configparser.ConfigParser) -> Iterator[Kind]:
    for section, name, values in _named_sections(parser, "kind"):
        try:
            consistency = Consistency(values.pop("consistency", "primary"))
        except ValueError as exc:
            raise ExperimentError(f"[{section}] consistency: {exc}") from exc
        yield _build(Kind, section, values, name=name, consistency=consistency)


def _read_faults(parser: configparser.ConfigParser) -> Iterator[Fault]:
    for section, _, values in _named_sections(parser, "fault"):
        name = values.pop("type", "")
        if name not in FAULT_TYPE_BY_NAME:
            raise ExperimentError(f"[{section}] type: {name!r} is not one of these faults")
        yield _build(FAULT_TYPE_BY_NAME[name], section, values)


def _read_variants(parser: configparser.ConfigParser) -> Iterator[Variant]:
    for section, name, values in _named_sections(parser, "variant"):
        for key in values:
            _find_attribute(section, key)
        yield Variant(name, tuple(values.items()))


def _counts(section: str, text: str) -> Iterator[tuple[str, int]]:
    for part in text.split():
        name, _, count = part.partition(":")
        yield name, int(_number(section, "data_centres", count))


def _number(section: str, key: str, text: str) -> float:
    try:
        return float(text)
    except ValueError as exc:
        raise ExperimentError(f"[{section}] {key}: not a number: {text!r}") from exc


def _build(cls: type[T], section: str, values: dict[str, str], **given: Any) -> T:
    """Make a data class from the texts of a section; each key is one of its fields."""
    found = {field.name: field for field in fields(cls)}
    made = dict(given)
    for key, text in values.items():
        if key not in found or key in given:
            raise ExperimentError(f"[{section}] {key}: unknown key")
        made[key] = _convert(section, key, text, found[key].type)
    missing = [
        name
        for name, field in found.items()
        if name not in made and field.default is MISSING and field.default_factory is MISSING
    ]
    if missing:
        raise ExperimentError(f"[{section}] {missing[0]}: missing")
    return cls(**made)


def _convert(section: str, key: str, text: str, kind: Any) -> Any:
    if kind is str:
        return text
    if kind is bool:
        if text not in ("true", "false"):
            raise ExperimentError(f"[{section}] {key}: neither true nor false: {text!r}")
        return text == "true"
    number = _number(section, key, text)
    return int(number) if kind is int else number


# Variants.


def _find_attribute(section: str, path: str) -> tuple[Any, str]:
    module_name, _, attribute = path.partition(":")
    try:
        module = importlib.import_module(module_name)
    except (ImportError, ValueError) as exc:
        raise ExperimentError(f"[{section}] {path}: no such module") from exc
    if not hasattr(module, attribute):
        raise ExperimentError(f"[{section}] {path}: no such attribute")
    return module, attribute


def apply_variant(variant: Variant) -> None:
    """Replace the attributes of a variant in this process.

    A number replaces a number; a text ``module:attribute`` names another object.

    Raises
    ------
    ExperimentError
        A replacement names nothing.
    """
    section = f"variant {variant.name}"
    for path, text in variant.replacements:
        module, attribute = _find_attribute(section, path)
        if isinstance(getattr(module, attribute), int | float):
            number = _number(section, path, text)
            setattr(module, attribute, type(getattr(module, attribute))(number))
        else:
            source, name = _find_attribute(section, text)
            setattr(module, attribute, getattr(source, name))


# Running.


def play(experiment: Experiment, variant: Variant, seed: int) -> Summary:
    """Play one run; call it in a process of its own, as variants change modules."""
    logging.disable(logging.CRITICAL)
    apply_variant(variant)
    groups = experiment.fleet.groups
    catalog = make_catalog(experiment.load, groups.count, groups.connections)
    fleet = ModelFleet(experiment.fleet, catalog, seed)
    try:
        load = Load(fleet, experiment.load, seed)
        for fault in experiment.faults:
            schedule(fleet, fault, fleet.time.now + WARM_UP_S)
        results = load.run(experiment.seconds, WARM_UP_S)
    finally:
        fleet.close()
    return Summary(
        variant.name,
        seed,
        _summarize(results, fleet, experiment.span_s),
        results.earned_by_second(experiment.span_s),
    )


def _summarize(results: Results, fleet: ModelFleet, span_s: float) -> dict[str, float]:
    opened = sum(
        database.opened_count
        for group in fleet.groups.values()
        for database in group.databases.values()
    )
    return {
        "worth earned": results.earned,
        "worth in the two worst spans": results.worst_spans(span_s, 2),
        "worst kind": min(results.earned_by(lambda op: op.kind).values()),
        "worst workspace": min(results.earned_by(lambda op: op.workspace).values()),
        "worst data centre": min(results.earned_by(lambda op: op.data_centre).values()),
        "in time": results.share(Ending.IN_TIME),
        "late": results.share(Ending.LATE),
        "refused": results.share(Ending.REFUSED),
        "failed": results.share(Ending.FAILED),
        "connections opened for each operation": opened / len(results.operations),
    }


def play_all(experiment: Experiment, jobs: int = DEFAULT_JOBS) -> dict[str, list[Summary]]:
    """Play all variants with all seeds, each in a process of its own; in order of seeds."""
    runs = [(variant, seed) for seed in experiment.seeds for variant in experiment.variants]
    summaries: dict[str, list[Summary]] = {variant.name: [] for variant in experiment.variants}
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as executor:
        futs = [executor.submit(play, experiment, variant, seed) for variant, seed in runs]
        for number, fut in enumerate(futs, 1):
            summary = fut.result()
            summaries[summary.variant].append(summary)
            print(f"\r{number} of {len(runs)} runs", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    return summaries


def compare_variants(before: list[Summary], after: list[Summary]) -> list[Difference]:
    """Compare two variants, run by run."""
    return [
        compare_pairs(
            name,
            [summary.amounts[name] for summary in before],
            [summary.amounts[name] for summary in after],
        )
        for name in before[0].amounts
    ]


class Commands:
    """Run experiments on the model."""

    def run(self, path: str, *, jobs: int = DEFAULT_JOBS) -> str:
        """Run an experiment; return a table for each variant against the first one."""
        experiment = read_experiment(Path(path))
        summaries = play_all(experiment, jobs)
        first, *others = experiment.variants
        tables = [
            f"{first.name} -> {other.name}\n\n"
            + render_table(compare_variants(summaries[first.name], summaries[other.name]))
            for other in others or [first]
        ]
        return "\n\n".join(tables)

    def plot(self, path: str, image: str, *, jobs: int = DEFAULT_JOBS) -> str:
        """Run an experiment and draw the worth earned over time; needs the extra ``plot``."""
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        experiment = read_experiment(Path(path))
        summaries = play_all(experiment, jobs)
        figure, axes = pyplot.subplots(figsize=(8, 4), layout="constrained")
        for name, runs in summaries.items():
            starts = sorted({start for run in runs for start in run.by_span})
            means = [
                sum(run.by_span.get(start, 0.0) for run in runs) / len(runs) for start in starts
            ]
            axes.step(starts, means, where="post", label=name)
        axes.set_xlabel("seconds")
        axes.set_ylabel("worth earned")
        axes.set_ylim(0, 1.05)
        axes.legend()
        figure.savefig(image)
        pyplot.close(figure)
        return image


def main(run: Callable[..., object] = fire.Fire) -> int:
    """Run the command line; return the exit status."""
    try:
        run(Commands, name="experiment")
    except ExperimentError as exc:
        print(f"experiment: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
