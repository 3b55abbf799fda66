"""The `cicadaledge load` commands: experiments, replays, soak tests and the demo."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

from cicadaledge.cli._exit import EXIT_REFUSED, EXIT_USAGE
from cicadaledge.errors import SettingsError

T = TypeVar("T")

load_app = typer.Typer(no_args_is_help=True, help="Load and experiment tool for development.")


@load_app.callback()
def exit_on_sigterm() -> None:
    """Exit normally on SIGTERM, so that the processes that were started are stopped."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_REFUSED))


OutOption = Annotated[Path, typer.Option("--out", help="Directory for results.")]


def _load_or_exit(load: Callable[[], T]) -> T:
    """Return what *load* reads from a file; print its mistakes and exit if it is invalid."""
    try:
        return load()
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_USAGE) from error


@load_app.command()
def run(
    file: Annotated[Path, typer.Argument(help="Experiment file.")],
    out: OutOption = Path("out"),
    capacity: Annotated[str, typer.Option(help="Overrides the file's capacity mode.")] = "",
    seed: Annotated[int, typer.Option(help="Overrides the file's seed.")] = 0,
) -> None:
    """Run an experiment and write its results; exit 1 if a guarantee was violated."""
    import attrs

    from cicadaledge.loadtool import load_experiment, load_summary, plot, run_experiment, table

    spec, deployment = _load_or_exit(lambda: load_experiment(file))
    spec = attrs.evolve(spec, capacity=capacity or spec.capacity, seed=seed or spec.seed)
    name = f"{file.stem}-{spec.capacity}"
    result = run_experiment(name, spec, deployment, out / name)
    plot([load_summary(out / name)], out / name / "course.svg")
    typer.echo(table(result))
    raise typer.Exit(EXIT_REFUSED if result.broken else 0)


@load_app.command()
def modes(
    file: Annotated[Path, typer.Argument(help="Experiment file.")],
    out: OutOption = Path("out"),
) -> None:
    """Run an experiment in all capacity modes and print a table of the results."""
    import attrs

    from cicadaledge.loadtool import load_experiment, load_summary, plot, run_experiment
    from cicadaledge.loadtool import mode_table as make_table

    spec, deployment = _load_or_exit(lambda: load_experiment(file))
    results = []
    for capacity in ("leased", "static_split", "uncoordinated"):
        name = f"{file.stem}-{capacity}"
        one = attrs.evolve(spec, capacity=capacity)
        results.append(run_experiment(name, one, deployment, out / name))
    plot([load_summary(out / result.name) for result in results], out / f"{file.stem}.svg")
    typer.echo(make_table(results))
    raise typer.Exit(EXIT_REFUSED if results[0].broken else 0)


@load_app.command()
def compare(left: Path, right: Path) -> None:
    """Compare the results of two experiments."""
    from cicadaledge.loadtool import compare as compare_summaries
    from cicadaledge.loadtool import load_summary

    typer.echo(compare_summaries(load_summary(left), load_summary(right)))


@load_app.command()
def draw(
    results: Annotated[list[Path], typer.Argument(help="Directories of results.")],
    out: OutOption = Path("out/comparison.svg"),
) -> None:
    """Plot fairness gap and utilisation of several experiments over time."""
    from cicadaledge.loadtool import load_summary, plot

    plot([load_summary(path) for path in results], out)


@load_app.command()
def overhead(
    deployment: Annotated[Path, typer.Argument(help="Deployment file.")],
    out: OutOption = Path("out"),
    pairs: Annotated[int, typer.Option(help="Requests of each kind.")] = 100,
    load_share: Annotated[float, typer.Option(help="Share of slots kept busy.")] = 0.5,
) -> None:
    """Measure the latency that routers add to the first token, and their CPU time per token."""
    from cicadaledge.loadtool import load_deployment
    from cicadaledge.loadtool._overhead import measure_overhead

    loaded = _load_or_exit(lambda: load_deployment(deployment))
    result = measure_overhead(loaded, out / "overhead", pairs, load_share)
    typer.echo(f"direct first token ms  {result.direct_ms}")
    typer.echo(f"routed first token ms  {result.routed_ms}")
    typer.echo(f"router CPU per token   {result.cpu_us_per_token} us")
    typer.echo(f"tokens per second      {result.tokens_per_s}")


@load_app.command()
def replay(
    factor: Annotated[float, typer.Option(help="Requests over those of the heavy day.")] = 1.0,
    seconds: Annotated[float, typer.Option(help="Length of the day.")] = 15.0,
    seed: Annotated[int, typer.Option(help="Seed of the traffic.")] = 1,
    large: Annotated[bool, typer.Option("--large", help="195 routers, no baselines.")] = False,
) -> None:
    """Replay a heavy load against the placing code and baselines in simulated time."""
    import attrs

    from cicadaledge.loadtool import (
        HEAVY_DAY,
        LARGE_DAY,
        MODES,
        REPLAY_HEADER,
        replay_modes,
        scaled,
    )

    day = attrs.evolve(
        scaled(LARGE_DAY if large else HEAVY_DAY, factor), seconds=seconds, seed=seed
    )
    typer.echo(REPLAY_HEADER)
    for result in replay_modes(day, MODES[:1] if large else MODES):
        typer.echo(result.row())


@load_app.command()
def soak(
    seed: Annotated[int, typer.Option(help="Seed of the first round.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many rounds.")] = 1,
    faults: Annotated[int, typer.Option(help="Faults of a round; 0 draws 2 to 9.")] = 0,
    routers: Annotated[int, typer.Option(help="Routers of each of three zones.")] = 2,
    callers: Annotated[int, typer.Option(help="Callers at the same time.")] = 16,
    fatal_part: Annotated[
        bool, typer.Option(help="Crash servers by a prompt part, not by a whole request.")
    ] = False,
    first_port: Annotated[int, typer.Option(help="First port of the routers.")] = 25_000,
    out: OutOption = Path("out/soak"),
) -> None:
    """Run routers under random faults, drawn by seed; exit 1 if a guarantee was violated."""
    from cicadaledge.soak import SoakPlan, SoakSize, run_round

    size = SoakSize(routers_per_zone=routers, callers=callers, first_port=first_port)
    broken = False
    for number in range(seed, seed + seeds):
        plan = SoakPlan(number, faults=faults or None, fatal_part=fatal_part, size=size)
        result = run_round(plan, out / str(number))
        broken = broken or bool(result.broken)
        typer.echo("\n".join(result.lines()))
    raise typer.Exit(EXIT_REFUSED if broken else 0)


@load_app.command()
def journal(
    folder: Annotated[Path, typer.Argument(help="Folder of the journal.")] = Path("journal"),
    deployment: Annotated[str, typer.Option(help="Only deployments whose name begins so.")] = "",
) -> None:
    """Print a table of worth by commit and standard day from the journal of benchmark runs."""
    from cicadaledge.loadtool import journal_table
    from cicadaledge.platform._benchmark_journal import read_journal

    if not folder.is_dir():
        typer.echo(f"folder {folder} does not exist", err=True)
        raise typer.Exit(EXIT_USAGE)
    rows = journal_table(read_journal(folder), deployment)
    if not rows:
        typer.echo(f"{folder} has no standard day of a deployment named {deployment!r}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    typer.echo(rows)


@load_app.command()
def demo(
    deployment: Annotated[Path, typer.Argument(help="Deployment file.")],
    out: OutOption = Path("out"),
    duration_s: Annotated[float, typer.Option(help="Length of the load.")] = 30.0,
) -> None:
    """Run a deployment under mixed load, drain and restore a zone, and print a table."""
    from cicadaledge.loadtool import run_experiment, table
    from cicadaledge.loadtool._demo import demo_experiment

    spec, loaded = _load_or_exit(lambda: demo_experiment(deployment, duration_s))
    typer.echo(f"Starting {deployment.parent.name}.", err=True)
    result = run_experiment("demo", spec, loaded, out / f"demo-{deployment.parent.name}")
    typer.echo(table(result))
    raise typer.Exit(EXIT_REFUSED if result.broken or not result.accounts else 0)
