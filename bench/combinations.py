"""Runs random combinations of two or three failures, to find combinations that cause an outage.

    python -m bench.combinations --bench PROGRAM --site SITE.toml... [--count 300] [--seed 1] [--out FILE]

Each combination is a scenario of its own (the bench calls it a "day"). The second and third failure start from 3 s
before to 20 s after the first. A combination is printed if the bench failed, a rule was broken, tasks were killed
because their leases ran out, there was no leader with authority for over 10 s, or the number of running tasks fell to
less than half. The figures are from simulated machines, without charging processor time.
"""

import json
import os
import re
import subprocess
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
import numpy as np

FIRST_FAILURE_S = 100.0  # seconds into the scenario; the other failures start around it
END_S = 180.0  # seconds into the scenario, when it is stopped
MAX_LEADERLESS_S = 10.0  # longest acceptable time without a leader that has authority
MIN_RUNNING_SHARE = 0.5  # minimum share of the tasks that ran before the first failure

Failure = dict[str, Any]


def possible_failures(site: dict[str, Any]) -> dict[str, list[Failure]]:
    """The failures that the operators list, by the part they affect.

    All entries of one part are equally likely, so a kind that has several entries is chosen more often.
    """
    nodes = site["nodes"]["count"]
    machines = sum(entry["count"] for entry in site["capacity"])
    machine_count = max(machines // 6, 1)

    def cut(count: int, seconds: float, mode: str = "hold", **links: bool) -> Failure:
        return {"kind": "node_cut", "count": count, "busiest": True, **links, "for_s": seconds, "mode": mode}

    failures: dict[str, list[Failure]] = {
        "controllers": [
            {"kind": "node_crash", "count": 1, "busiest": True},
            {"kind": "node_crash", "count": 1, "busiest": False},
            {"kind": "node_crash", "count": nodes, "busiest": True},
            {"kind": "node_roll", "every_s": 10.0},
            {"kind": "node_freeze", "count": 1, "busiest": True, "for_s": 24.0},
            cut(1, 30.0),
            cut(1, 30.0, "reset"),
            cut(1, 35.0, from_state=True),
            cut(1, 35.0, "refuse", from_state=True),
            cut(nodes - 1, 35.0, from_state=True),
            cut(1, 33.0, from_workers=True),
        ],
        "state": [
            {"kind": "state_outage", "for_s": 12.0},
            {"kind": "state_outage", "for_s": 20.0},
            {"kind": "state_slow", "factor": 12.0, "for_s": 50.0},
        ],
        "peers": [{"kind": "peers_refuse", "for_s": 40.0}],
        "workers": [
            {"kind": "machine_die", "count": machine_count},
            {"kind": "machine_hang", "count": machine_count, "for_s": 26.0},
            {"kind": "machine_cut", "count": machine_count, "for_s": 43.0, "mode": "hold"},
            {"kind": "spot_taken", "share": 0.5, "notice_s": 0.0, "over_s": 10.0},
        ],
    }
    zones = site["nodes"]["zones"]
    if len(zones) > 1:
        failures["workers"].append({"kind": "zone_cut", "zone": zones[-1], "for_s": 40.0, "mode": "hold"})
    return failures


def random_failures(random: np.random.Generator, site: dict[str, Any]) -> list[Failure]:
    """Two or three random failures, usually of different parts, and not all of them of workers."""
    choices = possible_failures(site)
    while True:
        parts = random.choice(list(choices), size=int(random.integers(2, 4)), p=[0.45, 0.3, 0.1, 0.15])
        if any(part != "workers" for part in parts):
            break
    failures: list[Failure] = []
    for position, part in enumerate(parts):
        shift = 0.0 if position == 0 else float(random.uniform(-3.0, 20.0))
        at = {"at_s": round(FIRST_FAILURE_S + shift, 1)}
        failures.append(at | choices[part][int(random.integers(len(choices[part])))])
    return sorted(failures, key=lambda failure: failure["at_s"])


def _toml(value: Any) -> str:
    """Formats a value as TOML, with tables inline; for numbers, strings and booleans JSON is the same."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_toml(item)}" for key, item in value.items()) + " }"
    return json.dumps(value)


def scenario_toml(number: int, failures: list[Failure]) -> str:
    faults = "".join(f"  {_toml(failure)},\n" for failure in failures)
    head = f'[[day]]\nname = "combination-{number}"\nslot = "trouble"\nlight = true\nseed = {1000 + number}\n'
    return f"{head}faults = [\n{faults}]\n"


_LOG_LINE = re.compile(r"^\s*([\d.]+) (\S+) \S+ \S+ (.*)$")
# Log texts after which the controller is or isn't a leader with authority.
_AUTHORITY_GAINED = re.compile(r"term: \S+ -> holding|authority is back")
_AUTHORITY_LOST = re.compile(r"term: holding -> |authority has run out|crashes|is restarted|controller \S+ listens")


def longest_leaderless_s(log: str, events: list[dict[str, Any]], until: float) -> float:
    """The longest time in seconds, after the first leader, during which no leader had authority."""
    lines = [(float(match[1]), match[2], match[3]) for match in map(_LOG_LINE.match, log.splitlines()) if match]
    lines += [(event["at_s"], event["what"].partition(" ")[0], event["what"]) for event in events]
    leaders: set[str] = set()
    longest, since = 0.0, None
    for at, node, text in sorted(lines):
        if _AUTHORITY_GAINED.search(text):
            leaders.add(node)
            if since is not None:
                longest, since = max(longest, at - since), None
        elif _AUTHORITY_LOST.search(text) and node in leaders:
            leaders.remove(node)
            if not leaders:
                since = at
    return max(longest, until - since) if since is not None else longest


def run_scenario(bench: str, site: str, number: int, failures: list[Failure]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        file, report = Path(folder, f"combination-{number}.toml"), Path(folder, "report.json")
        file.write_text(scenario_toml(number, failures))
        command = [bench, "run", site, str(file), "--no-cpu", "--until", str(END_S)]
        command += ["--log", "info", "--report", str(report)]
        process = subprocess.run(command, capture_output=True, text=True, check=False)
        try:
            result = json.loads(report.read_text())
        except FileNotFoundError:
            return {"number": number, "drawn": failures, "failed": process.stdout[-500:] + process.stderr[-500:]}
    tasks = [window["tasks"] for window in result["windows"]]
    times = [window["at_s"] for window in result["windows"]]
    tasks_before = max(
        (count for at, count in zip(times, tasks, strict=True) if FIRST_FAILURE_S - 15 < at <= FIRST_FAILURE_S - 3),
        default=0,
    )
    min_tasks = min((count for at, count in zip(times, tasks, strict=True) if at > FIRST_FAILURE_S), default=0)
    return {
        "number": number,
        "site": Path(site).stem,
        "drawn": failures,
        "rules": result["rules_broken"]["total"],
        "killed": result["fleet"]["tasks_killed_by_lease"],
        "before": tasks_before,
        "least": min_tasks,
        "alone_s": round(longest_leaderless_s(process.stdout + process.stderr, result["events"], END_S), 1),
    }


def is_notable(outcome: dict[str, Any]) -> bool:
    """Whether the result is to be printed: a failed run, a broken rule, or a bound of this module exceeded."""
    if "failed" in outcome or outcome["rules"]:
        return True
    tasks_dropped = outcome["least"] < MIN_RUNNING_SHARE * outcome["before"]
    return bool(outcome["killed"] or outcome["alone_s"] > MAX_LEADERLESS_S or tasks_dropped)


@click.command()
@click.option("--bench", required=True, help="the bench's program")
@click.option("--site", "sites", multiple=True, required=True, help="site file; if repeated, the sites alternate")
@click.option("--count", default=300, show_default=True)
@click.option("--first", default=0, show_default=True, help="number of the first combination")
@click.option("--seed", default=1, show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, help="scenarios run in parallel")
@click.option("--out", type=click.Path(dir_okay=False), help="file to which all results are appended, as JSON lines")
def main(bench: str, sites: tuple[str, ...], count: int, first: int, seed: int, jobs: int, out: str | None) -> None:
    """Runs random combinations of failures and prints those with serious effects."""
    loaded = {site: tomllib.loads(Path(site).read_text()) for site in sites}

    def run_one(number: int) -> dict[str, Any]:
        site = sites[number % len(sites)]
        return run_scenario(bench, site, number, random_failures(np.random.default_rng([seed, number]), loaded[site]))

    with ThreadPoolExecutor(jobs) as pool:
        for outcome in pool.map(run_one, range(first, first + count)):
            if out is not None:
                with open(out, "a") as file:
                    file.write(json.dumps(outcome) + "\n")
            if is_notable(outcome):
                click.echo(json.dumps(outcome))


if __name__ == "__main__":
    main()
