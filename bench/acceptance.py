"""Runs scenarios of the bench at several sizes and seeds, and prints which of them fail.

    python -m bench.acceptance --bench PROGRAM --site SITE.toml... [--day DAY]... [--size 1 --size 1.5] [--seed N]...

The bench calls a scenario a "day". DAY is the name of a standard scenario or a file; without this option, all scenarios
of each site are run. A size above 1 multiplies the machines, the arrivals and the teams' limits (``--machines-only``:
only the machines). A scenario fails if a rule was broken, if it did not run to its end in time, if less than half of
the jobs of a class or team were served, if a process ended by itself, if one of the largest jobs of a class had not
started after four minutes, or if it cost more than the bound. The exit status is 1 if any scenario failed. The figures
are from simulated machines. They are taken from the bench's report, except for the jobs that have not started, which
are read from the service's log.
"""

import copy
import json
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import tomli_w
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

MIN_SERVED_SHARE = 0.5  # minimum share of the jobs of each class and each team
Site = dict[str, Any]


@dataclass(frozen=True)
class ScenarioRun:
    """One scenario to run, at one size and with one seed."""

    site: Path  # the operators' file, not enlarged
    size: float
    scenario: str
    seed: int | None  # None: the scenario's own seed


@dataclass
class Outcome:
    """The result of one run. ``cost``: processor seconds of the run, multiplied by the machine's speed."""

    scenario_run: ScenarioRun
    mark: float | None = None  # the score that the bench prints
    cost: float = 0.0
    lowest_class: tuple[str, float, float] = ("", 1.0, 1.0)  # class, share of its jobs started, share done
    lowest_team: tuple[str, float] = ("", 1.0)  # team, share of its jobs started
    killed_tasks: int = 0  # tasks killed because a lease ran out
    memory_mb: float = 0.0
    connections: int = 0
    not_started: int = 0  # jobs that had not started after four minutes, from the service's log
    reasons: list[str] = field(default_factory=list)  # why the run fails; empty if it passes


def scale_site(
    site: Site, size: float, *, machines_only: bool, restart_delay_s: float | None, nodes: int | None
) -> Site:
    """Returns a copy of the site with machines, arrivals and the teams' limits multiplied by ``size``."""
    scaled = copy.deepcopy(site)
    for entry in scaled.get("capacity", []) + scaled.get("machines", []):
        for name in ("count", "spot"):
            if name in entry and not isinstance(entry[name], bool):
                entry[name] = round(entry[name] * size)
    if not machines_only:
        for jobs in scaled.get("jobs", []):
            jobs["arrivals"]["rate"] *= size
            jobs["initial"] = round(jobs.get("initial", 0) * size)
        for limits in scaled.get("teams", []):
            for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
                if name in limits:
                    limits[name] *= size
    if restart_delay_s is not None:
        scaled["nodes"]["restart_delay_s"] = restart_delay_s
    if nodes is not None:
        scaled["nodes"]["count"] = nodes
    return scaled


def evaluate_report(scenario_run: ScenarioRun, report: dict[str, Any], max_cost: float) -> Outcome:
    """Evaluates the bench's report of a scenario that ran to its end."""
    outcome = Outcome(scenario_run)
    spent = report["spent"]
    outcome.cost = (sum(spent["world"]) + sum(spent["processes"])) * report["machine_speed"]
    outcome.killed_tasks = report["fleet"]["tasks_killed_by_lease"]
    shares = []
    for name, jobs in report["classes"].items():
        expected = max(jobs["accepted"] - jobs["cancelled"], 1)
        shares.append((name, jobs["started"] / expected, jobs["done"] / expected))
    outcome.lowest_class = min(shares, key=lambda share: min(share[1:]), default=outcome.lowest_class)
    teams = [(name, jobs["started"] / max(jobs["jobs"], 1)) for name, jobs in report.get("teams", {}).items()]
    outcome.lowest_team = min(teams, key=lambda share: share[1], default=outcome.lowest_team)
    ended_processes = 0
    for node in report["node_stats"]:
        outcome.memory_mb = max(outcome.memory_mb, node["memory_peak_mb"])
        outcome.connections = max(outcome.connections, node["connections_peak"])
        ended_processes += sum(restart["why"] != "fault" for restart in node["restarts"]) + node["panics"]
    if report["rules_broken"]["total"]:
        outcome.reasons.append(f"rules: {report['rules_broken']['by_kind']}")
    if min(outcome.lowest_class[1:]) < MIN_SERVED_SHARE:
        outcome.reasons.append(f"{outcome.lowest_class[0]} below half")
    if outcome.lowest_team[1] < MIN_SERVED_SHARE:
        outcome.reasons.append(f"team {outcome.lowest_team[0]} below half")
    if ended_processes:
        outcome.reasons.append(f"{ended_processes} processes ended by themselves")
    if outcome.cost > max_cost:
        outcome.reasons.append(f"costs over {max_cost:g}")
    return outcome


_NOT_STARTED_LINE = re.compile(r"(\S+) of (\S+) has not begun after \d+ s: \d+ tasks, (among|not among) the largest")


def evaluate_start_delays(outcome: Outcome, output: str) -> None:
    """Evaluates the service's log. Every leader under which a job waits logs the job once; here it is counted once."""
    delayed_jobs = {job: (jobclass, size == "among") for job, jobclass, size in _NOT_STARTED_LINE.findall(output)}
    outcome.not_started = len(delayed_jobs)
    largest = Counter(jobclass for jobclass, is_largest in delayed_jobs.values() if is_largest)
    outcome.reasons += [f"{count} of the largest of {name} not started" for name, count in sorted(largest.items())]


_MARK_LINE = re.compile(r"^\S+ +\d+ +([\d.]+) +\d+/\d+", re.MULTILINE)


def run_scenario(bench: str, scenario_run: ScenarioRun, site: Path, max_cost: float, until: float | None) -> Outcome:
    """Runs the bench's program on one scenario and evaluates its report and output."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder, "report.json")
        command = [bench, "run", str(site), scenario_run.scenario, "--report", str(report), "--log", "error"]
        command += ["--seed", str(scenario_run.seed)] if scenario_run.seed is not None else []
        command += ["--until", str(until)] if until is not None else []
        process = subprocess.run(command, capture_output=True, text=True, check=False)
        output = process.stdout + process.stderr
        try:
            outcome = evaluate_report(scenario_run, json.loads(report.read_text()), max_cost)
        except (OSError, ValueError, KeyError) as error:
            return Outcome(scenario_run, reasons=[f"did not run to its end ({error!r}): {output.strip()[-300:]}"])
    evaluate_start_delays(outcome, output)
    mark = _MARK_LINE.search(output)
    outcome.mark = float(mark[1]) if mark else None
    if process.returncode:
        outcome.reasons.append(f"the bench ended with {process.returncode}")
    return outcome


def write_site(folder: Path, scenario_run: ScenarioRun, site: Site) -> Path:
    """Writes the site file, and copies the files that the bench expects beside it."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{scenario_run.site.stem}{'-larger' if scenario_run.size > 1 else ''}-{scenario_run.size:g}.toml"
    path.write_text(tomli_w.dumps(site))
    for name, source in (
        ("wire.json", scenario_run.site.parent / "wire.json"),
        (None, scenario_run.site.with_suffix(".days")),
    ):
        if source.exists():
            shutil.copyfile(source, folder / name if name else path.with_suffix(".days"))
    return path


def scenario_runs(sites: list[Path], sizes: list[float], days: list[str], seeds: list[int]) -> Iterator[ScenarioRun]:
    """All combinations; without ``days``, all scenarios of each site."""
    for site in sites:
        names = days or [day["name"] for day in tomllib.loads(site.read_text()).get("day", [])]
        for size in sizes:
            for scenario in names:
                for seed in seeds or [None]:
                    yield ScenarioRun(site, size, scenario, seed)


def table(outcomes: list[Outcome]) -> Table:
    rows = Table("site", "size", "day", "seed", "mark", "cost", "lowest class started, done", "team", "killed", "MB",
                  "connections", "not started", "fails")  # fmt: skip
    for outcome in outcomes:
        scenario_run = outcome.scenario_run
        rows.add_row(
            scenario_run.site.stem,
            f"{scenario_run.size:g}",
            Path(scenario_run.scenario).stem,
            "" if scenario_run.seed is None else str(scenario_run.seed),
            "" if outcome.mark is None else f"{outcome.mark:.2f}",
            f"{outcome.cost:.0f}",
            f"{outcome.lowest_class[0]} {outcome.lowest_class[1]:.2f}, {outcome.lowest_class[2]:.2f}",
            f"{outcome.lowest_team[1]:.2f}",
            str(outcome.killed_tasks),
            f"{outcome.memory_mb:.0f}",
            str(outcome.connections),
            str(outcome.not_started),
            "; ".join(outcome.reasons),
        )
    return rows


@click.command()
@click.option("--bench", required=True, help="the bench's program")
@click.option("--site", "sites", multiple=True, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--day", "days", multiple=True, help="name of a standard scenario or a file; may be repeated")
@click.option("--size", "sizes", multiple=True, type=float, default=(1.0, 1.5), show_default=True)
@click.option("--seed", "seeds", multiple=True, type=int, help="instead of each scenario's own seed; may be repeated")
@click.option("--machines-only", is_flag=True, help="enlarge only the machines, not the load")
@click.option(
    "--back", "back_s", type=float, default=0.3, show_default=True, help="seconds until an ended process is restarted"
)
@click.option("--nodes", type=int, help="number of controllers")
@click.option("--bound", default=100.0, show_default=True, help="maximum cost of a scenario")
@click.option("--until", type=float, help="seconds after which each scenario is stopped")
@click.option("--jobs", default=4, show_default=True, help="scenarios run in parallel")
def main(
    bench: str,
    sites: tuple[Path, ...],
    days: tuple[str, ...],
    sizes: tuple[float, ...],
    seeds: tuple[int, ...],
    machines_only: bool,
    back_s: float,
    nodes: int | None,
    bound: float,
    until: float | None,
    jobs: int,
) -> None:
    """Runs scenarios at several sizes and prints a table of their results."""
    console = Console(width=200)
    planned = list(scenario_runs(list(sites), list(sizes), list(days), list(seeds)))
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        written: dict[tuple[Path, float], Path] = {}
        for scenario_run in planned:
            if (scenario_run.site, scenario_run.size) not in written:
                loaded = tomllib.loads(scenario_run.site.read_text())
                site = scale_site(
                    loaded, scenario_run.size, machines_only=machines_only, restart_delay_s=back_s, nodes=nodes
                )
                written[scenario_run.site, scenario_run.size] = write_site(Path(folder), scenario_run, site)
        with Progress(console=console) as progress:
            bar = progress.add_task("scenarios", total=len(planned))
            futures = [
                pool.submit(
                    run_scenario, bench, scenario_run, written[scenario_run.site, scenario_run.size], bound, until
                )
                for scenario_run in planned
            ]
            outcomes = []
            for future in futures:
                outcomes.append(future.result())
                progress.advance(bar)
    console.print(table(outcomes))
    sys.exit(any(outcome.reasons for outcome in outcomes))


if __name__ == "__main__":
    main()
