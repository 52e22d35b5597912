"""Plays days of the bench at several sizes and seeds, and says which would not be accepted.

    python -m bench.acceptance --bench PROGRAM --site SITE.toml... [--day DAY]... [--size 1 --size 1.5] [--seed N]...

DAY is the name of a standard day or a file; without any, all days of each site. A size above 1 multiplies machines,
arrivals and the teams' limits (``--machines-only``: the machines alone). A day fails if a rule broke, it could not be
played in its time, half of a class or team was not served, a process ended by itself, one of the largest jobs of a
class had not begun after four minutes, or it cost more than the bound. Exit status 1 if any failed. Figures are from
simulated machines; all are the bench's own but for what has not begun, which the service's log tells.
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

SERVED = 0.5  # of each class and team
Site = dict[str, Any]


@dataclass(frozen=True)
class Play:
    """One day to be played."""

    site: Path  # as the operators wrote it
    size: float
    day: str
    seed: int | None


@dataclass
class Outcome:
    """What came of it. ``cost``: processor seconds of the day, times the machine's speed."""

    play: Play
    mark: float | None = None
    cost: float = 0.0
    lowest: tuple[str, float, float] = ("", 1.0, 1.0)  # class, started, done
    team: tuple[str, float] = ("", 1.0)
    killed: int = 0
    memory_mb: float = 0.0
    connections: int = 0
    unbegun: int = 0  # jobs that had not begun after four minutes, by the service's own log
    reasons: list[str] = field(default_factory=list)  # why it fails


def enlarged(site: Site, size: float, *, machines_only: bool, back_s: float | None, nodes: int | None) -> Site:
    """The site with so many times as much of everything that grows."""
    grown = copy.deepcopy(site)
    for entry in grown.get("capacity", []) + grown.get("machines", []):
        for name in ("count", "spot"):
            if name in entry and not isinstance(entry[name], bool):
                entry[name] = round(entry[name] * size)
    if not machines_only:
        for jobs in grown.get("jobs", []):
            jobs["arrivals"]["rate"] *= size
            jobs["initial"] = round(jobs.get("initial", 0) * size)
        for team in grown.get("teams", []):
            for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
                if name in team:
                    team[name] *= size
    if back_s is not None:
        grown["nodes"]["restart_delay_s"] = back_s
    if nodes is not None:
        grown["nodes"]["count"] = nodes
    return grown


def judge(play: Play, report: dict[str, Any], bound: float) -> Outcome:
    """Reads the bench's report of a day that was played to its end."""
    found = Outcome(play)
    spent = report["spent"]
    found.cost = (sum(spent["world"]) + sum(spent["processes"])) * report["machine_speed"]
    found.killed = report["fleet"]["tasks_killed_by_lease"]
    shares = []
    for name, jobs in report["classes"].items():
        wanted = max(jobs["accepted"] - jobs["cancelled"], 1)
        shares.append((name, jobs["started"] / wanted, jobs["done"] / wanted))
    found.lowest = min(shares, key=lambda share: min(share[1:]), default=found.lowest)
    teams = [(name, jobs["started"] / max(jobs["jobs"], 1)) for name, jobs in report.get("teams", {}).items()]
    found.team = min(teams, key=lambda share: share[1], default=found.team)
    ended = 0
    for node in report["node_stats"]:
        found.memory_mb = max(found.memory_mb, node["memory_peak_mb"])
        found.connections = max(found.connections, node["connections_peak"])
        ended += sum(restart["why"] != "fault" for restart in node["restarts"]) + node["panics"]
    if report["rules_broken"]["total"]:
        found.reasons.append(f"rules: {report['rules_broken']['by_kind']}")
    if min(found.lowest[1:]) < SERVED:
        found.reasons.append(f"{found.lowest[0]} below half")
    if found.team[1] < SERVED:
        found.reasons.append(f"team {found.team[0]} below half")
    if ended:
        found.reasons.append(f"{ended} processes ended by themselves")
    if found.cost > bound:
        found.reasons.append(f"costs over {bound:g}")
    return found


_UNBEGUN = re.compile(r"(\S+) of (\S+) has not begun after \d+ s: \d+ tasks, (among|not among) the largest")


def judge_begins(found: Outcome, said: str) -> None:
    """Reads the service's log: each job is told of once by each leader that it waits under."""
    late = {job: (jobclass, size == "among") for job, jobclass, size in _UNBEGUN.findall(said)}
    found.unbegun = len(late)
    largest = Counter(jobclass for jobclass, largest in late.values() if largest)
    found.reasons += [f"{count} of the largest of {name} not begun" for name, count in sorted(largest.items())]


_MARK = re.compile(r"^\S+ +\d+ +([\d.]+) +\d+/\d+", re.MULTILINE)


def run(bench: str, play: Play, site: Path, bound: float, until: float | None) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder, "report.json")
        call = [bench, "run", str(site), play.day, "--report", str(report), "--log", "error"]
        call += ["--seed", str(play.seed)] if play.seed is not None else []
        call += ["--until", str(until)] if until is not None else []
        ran = subprocess.run(call, capture_output=True, text=True, check=False)
        said = ran.stdout + ran.stderr
        try:
            found = judge(play, json.loads(report.read_text()), bound)
        except (OSError, ValueError, KeyError) as error:
            return Outcome(play, reasons=[f"not played to its end ({error!r}): {said.strip()[-300:]}"])
    judge_begins(found, said)
    mark = _MARK.search(said)
    found.mark = float(mark[1]) if mark else None
    if ran.returncode:
        found.reasons.append(f"the bench ended with {ran.returncode}")
    return found


def write_site(folder: Path, play: Play, site: Site) -> Path:
    """The site file with what the bench wants beside it."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{play.site.stem}{'-larger' if play.size > 1 else ''}-{play.size:g}.toml"
    path.write_text(tomli_w.dumps(site))
    for name, source in (("wire.json", play.site.parent / "wire.json"), (None, play.site.with_suffix(".days"))):
        if source.exists():
            shutil.copyfile(source, folder / name if name else path.with_suffix(".days"))
    return path


def plays(sites: list[Path], sizes: list[float], days: list[str], seeds: list[int]) -> Iterator[Play]:
    for site in sites:
        names = days or [day["name"] for day in tomllib.loads(site.read_text()).get("day", [])]
        for size in sizes:
            for day in names:
                for seed in seeds or [None]:
                    yield Play(site, size, day, seed)


def table(outcomes: list[Outcome]) -> Table:
    shown = Table("site", "size", "day", "seed", "mark", "cost", "lowest class started, done", "team", "killed", "MB",
                  "connections", "not begun", "fails")  # fmt: skip
    for found in outcomes:
        play = found.play
        shown.add_row(
            play.site.stem,
            f"{play.size:g}",
            Path(play.day).stem,
            "" if play.seed is None else str(play.seed),
            "" if found.mark is None else f"{found.mark:.2f}",
            f"{found.cost:.0f}",
            f"{found.lowest[0]} {found.lowest[1]:.2f}, {found.lowest[2]:.2f}",
            f"{found.team[1]:.2f}",
            str(found.killed),
            f"{found.memory_mb:.0f}",
            str(found.connections),
            str(found.unbegun),
            "; ".join(found.reasons),
        )
    return shown


@click.command()
@click.option("--bench", required=True, help="the bench's program")
@click.option("--site", "sites", multiple=True, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--day", "days", multiple=True, help="a standard day or a file; several may be given")
@click.option("--size", "sizes", multiple=True, type=float, default=(1.0, 1.5), show_default=True)
@click.option("--seed", "seeds", multiple=True, type=int, help="instead of each day's own")
@click.option("--machines-only", is_flag=True, help="a larger site has no more load")
@click.option(
    "--back", "back_s", type=float, default=0.3, show_default=True, help="seconds until an ended process is back"
)
@click.option("--nodes", type=int, help="so many controllers")
@click.option("--bound", default=100.0, show_default=True, help="most that a day may cost")
@click.option("--until", type=float, help="seconds of each day that are played")
@click.option("--jobs", default=4, show_default=True, help="days at once")
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
    """Plays days at several sizes and prints one table of what came of them."""
    console = Console(width=200)
    wanted = list(plays(list(sites), list(sizes), list(days), list(seeds)))
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        written: dict[tuple[Path, float], Path] = {}
        for play in wanted:
            if (play.site, play.size) not in written:
                loaded = tomllib.loads(play.site.read_text())
                site = enlarged(loaded, play.size, machines_only=machines_only, back_s=back_s, nodes=nodes)
                written[play.site, play.size] = write_site(Path(folder), play, site)
        with Progress(console=console) as progress:
            shown = progress.add_task("days", total=len(wanted))
            running = [pool.submit(run, bench, play, written[play.site, play.size], bound, until) for play in wanted]
            outcomes = []
            for each in running:
                outcomes.append(each.result())
                progress.advance(shown)
    console.print(table(outcomes))
    sys.exit(any(found.reasons for found in outcomes))


if __name__ == "__main__":
    main()
