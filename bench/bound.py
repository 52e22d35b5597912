"""Computes an upper bound of the share of each class that could have been served: a linear program over task mixes.

    python -m bench.bound --site SITE.toml REPORT.json...

A report is written by the bench's ``run SITE DAY --report F``. The machines that were up in each window of the report
are assumed to be fully used at all times, without image fetches, lost work or late arrivals; a task does not span
machines. No scheduler can exceed this bound, and none reaches it. Each class is served as far as possible before
the next less urgent one. Jobs are sampled from the site's size distributions, and the smallest are assumed to be served
first.
"""

import itertools
import json
import math
import tomllib
from pathlib import Path
from typing import Any

import click
import numpy as np
from scipy.optimize import linprog

PRIORITY_RANKS = {"prod": 0, "high": 1, "urgent": 1, "normal": 2, "standard": 2, "low": 3, "idle": 3}
SAMPLED_JOBS = 20_000  # jobs sampled for each class
P95_STANDARD_DEVIATIONS = 1.645  # 95th percentile of the normal distribution, in standard deviations


def _sample(distribution: dict[str, Any], random: np.random.Generator) -> np.ndarray:
    """Samples a distribution of the site file: listed sizes with weights, or log-normal."""
    if "sizes" in distribution:
        weights = np.array(distribution["weights"], dtype=float)
        return random.choice(np.array(distribution["sizes"], dtype=float), SAMPLED_JOBS, p=weights / weights.sum())
    # A log-normal distribution given by its median and its 95th percentile.
    sigma = math.log(distribution["p95"] / distribution["median"]) / P95_STANDARD_DEVIATIONS
    return np.clip(
        distribution["median"] * np.exp(sigma * random.standard_normal(SAMPLED_JOBS)), 1.0, distribution["max"]
    )


def _max_tasks(machine_type: dict[str, Any], spot: bool, job: dict[str, Any]) -> int:
    """Number of the job's tasks that fit on one empty machine."""
    if spot and not job["spot"]:
        return 0
    parts = [
        (machine_type["cpus"], job["cpus"]),
        (machine_type.get("gpus", 0.0), job["gpus"]),
        (machine_type["memory_gb"], job["memory_gb"]),
    ]
    return min(int(capacity / required + 1e-9) for capacity, required in parts if required > 0)


def task_mixes(machine_type: dict[str, Any], spot: bool, jobs: list[dict[str, Any]]) -> list[tuple[int, ...]]:
    """Task counts by class that fit on one machine together, including all to which no task can be added."""
    max_counts = [_max_tasks(machine_type, spot, job) for job in jobs]

    def fits(mix: tuple[int, ...]) -> bool:
        return all(
            sum(count * job[name] for count, job in zip(mix, jobs, strict=True)) <= machine_type.get(name, 0.0) + 1e-9
            for name in ("cpus", "gpus", "memory_gb")
        )

    # The count of the last class is always the largest that fits, so only the other classes are enumerated.
    mixes: list[tuple[int, ...]] = []
    for head in itertools.product(*(range(count + 1) for count in max_counts[:-1])):
        last = next((count for count in range(max_counts[-1], -1, -1) if fits((*head, count))), None)
        if last is not None:
            mixes.append((*head, last))
    return mixes


def machine_seconds(site: dict[str, Any], report: dict[str, Any]) -> dict[tuple[str, bool], float]:
    """Machine seconds by machine type and whether spot.

    The report has only totals; they are divided among the types in proportion to the cloud's capacity.
    """
    capacity: dict[tuple[str, bool], float] = {}
    for entry in site["capacity"]:
        for spot, count in ((True, entry.get("spot", 0)), (False, entry["count"])):
            capacity[(entry["type"], spot)] = capacity.get((entry["type"], spot), 0.0) + count
    totals = {spot: sum(count for (_, is_spot), count in capacity.items() if is_spot is spot) for spot in (True, False)}
    seconds = {True: 0.0, False: 0.0}
    before = 0.0
    for window in report["windows"]:
        duration, before = window["at_s"] - before, window["at_s"]
        seconds[True] += duration * window["spot"]
        seconds[False] += duration * (window["machines"] - window["spot"])
    return {key: seconds[key[1]] * count / totals[key[1]] for key, count in capacity.items() if totals[key[1]]}


def servable_shares(site: dict[str, Any], report: dict[str, Any]) -> dict[str, tuple[float, float]]:
    """The shares of each class's tasks and jobs that could have been served, at most."""
    random = np.random.default_rng(1)
    jobs = sorted(site["jobs"], key=lambda job: PRIORITY_RANKS[job["priority"]])
    sizes = [_sample(job["tasks"], random) for job in jobs]
    run_times = [_sample(job["run_s"], random) for job in jobs]
    wanted = []
    for job, run_time in zip(jobs, run_times, strict=True):
        counts = report["classes"][job["name"]]
        share = (counts["accepted"] - counts["cancelled"]) / max(counts["accepted"], 1)
        wanted.append(counts["tasks"] * share * float(run_time.mean()))
    machine_types = {machine_type["name"]: machine_type for machine_type in site["machine_types"]}
    supply = machine_seconds(site, report)
    columns = [(key, mix) for key in supply for mix in task_mixes(machine_types[key[0]], key[1], jobs)]
    work_rates = np.array([mix for _, mix in columns], dtype=float).T  # task seconds by class, for a second of each mix
    uses = np.array([[float(key == supplied) for key, _ in columns] for supplied in supply])
    limits, bounds = list(supply.values()), list(wanted)
    done: list[float] = []
    for rank in range(len(jobs)):
        # More urgent classes keep at least 0.999 of what they were given; no class gets more than it wants.
        constraints = np.vstack([uses, work_rates, -work_rates[:rank]])
        upper_bounds = limits + bounds + [-0.999 * amount for amount in done]
        solution = linprog(-work_rates[rank], A_ub=constraints, b_ub=upper_bounds)
        if not solution.success:
            raise click.ClickException(f"no solution: {solution.message}")
        done.append(-solution.fun)
    shares: dict[str, tuple[float, float]] = {}
    for job, size, run_time, work_done, work_wanted in zip(jobs, sizes, run_times, done, wanted, strict=True):
        work = np.sort(size * run_time)
        jobs_done = np.searchsorted(np.cumsum(work), work.sum() * work_done / work_wanted + 1e-6)
        shares[job["name"]] = (work_done / work_wanted, float(jobs_done) / SAMPLED_JOBS)
    return shares


@click.command()
@click.option("--site", required=True, type=click.Path(exists=True, dir_okay=False))
@click.argument("reports", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def main(site: str, reports: tuple[str, ...]) -> None:
    """Prints the bound and the share that was done, for each report and class."""
    deployment = tomllib.loads(Path(site).read_text())
    for name in reports:
        report = json.loads(Path(name).read_text())
        for label, (tasks, jobs) in servable_shares(deployment, report).items():
            counts = report["classes"][label]
            done = counts["done"] / max(counts["accepted"] - counts["cancelled"], 1)
            day = f"{report['scenario']} seed {report['seed']}"
            click.echo(f"{day}: {label}: bound {tasks:.2f} of the tasks, {jobs:.2f} of the jobs; done {done:.2f}")


if __name__ == "__main__":
    main()
