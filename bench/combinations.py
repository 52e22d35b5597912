"""Draws pairs and triples of troubles and plays them, to find those that add up to an outage.

    python -m bench.combinations --bench PROGRAM --site SITE.toml... [--count 300] [--seed 1] [--out FILE]

Each combination is an own day: the second and third trouble begin 3 s before to 20 s after the first.
Listed are those in which tasks were killed by their leases, nobody commanded for over 10 s, or the running
tasks fell to less than half. Figures are from simulated machines, without charging processor time.
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

FIRST = 100.0  # seconds; the second and third trouble begin around it
UNTIL = 180.0
MOST_ALONE = 10.0  # seconds without a commander
FALLEN = 0.5  # of the tasks that ran before

Trouble = dict[str, Any]


def troubles(site: dict[str, Any]) -> dict[str, list[Trouble]]:
    """The operators' troubles, by what they hit; several of each kind count as several."""
    nodes = site["nodes"]["count"]
    machines = sum(entry["count"] for entry in site["capacity"])
    some = max(machines // 6, 1)

    def cut(count: int, seconds: float, mode: str = "hold", **sides: bool) -> Trouble:
        return {"kind": "node_cut", "count": count, "busiest": True, **sides, "for_s": seconds, "mode": mode}

    found: dict[str, list[Trouble]] = {
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
            {"kind": "machine_die", "count": some},
            {"kind": "machine_hang", "count": some, "for_s": 26.0},
            {"kind": "machine_cut", "count": some, "for_s": 43.0, "mode": "hold"},
            {"kind": "spot_taken", "share": 0.5, "notice_s": 0.0, "over_s": 10.0},
        ],
    }
    zones = site["nodes"]["zones"]
    if len(zones) > 1:
        found["workers"].append({"kind": "zone_cut", "zone": zones[-1], "for_s": 40.0, "mode": "hold"})
    return found


def draw(random: np.random.Generator, site: dict[str, Any]) -> list[Trouble]:
    """Two or three troubles, of different kinds of things as a rule, not all of them on workers."""
    kinds = troubles(site)
    while True:
        sides = random.choice(list(kinds), size=int(random.integers(2, 4)), p=[0.45, 0.3, 0.1, 0.15])
        if any(side != "workers" for side in sides):
            break
    drawn: list[Trouble] = []
    for place, side in enumerate(sides):
        shift = 0.0 if place == 0 else float(random.uniform(-3.0, 20.0))
        at = {"at_s": round(FIRST + shift, 1)}
        drawn.append(at | kinds[side][int(random.integers(len(kinds[side])))])
    return sorted(drawn, key=lambda trouble: trouble["at_s"])


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_toml(each)}" for key, each in value.items()) + " }"
    return json.dumps(value)


def day(number: int, drawn: list[Trouble]) -> str:
    faults = "".join(f"  {_toml(trouble)},\n" for trouble in drawn)
    head = f'[[day]]\nname = "combination-{number}"\nslot = "trouble"\nlight = true\nseed = {1000 + number}\n'
    return f"{head}faults = [\n{faults}]\n"


_LINE = re.compile(r"^\s*([\d.]+) (\S+) \S+ \S+ (.*)$")
_GAINS = re.compile(r"term: \S+ -> holding|authority is back")
_LOSES = re.compile(r"term: holding -> |authority has run out|crashes|is restarted|controller \S+ listens")


def alone(log: str, events: list[dict[str, Any]], until: float) -> float:
    """The longest time, after the first leader, in which no controller held a term that it could use."""
    lines = [(float(found[1]), found[2], found[3]) for found in map(_LINE.match, log.splitlines()) if found]
    lines += [(event["at_s"], event["what"].partition(" ")[0], event["what"]) for event in events]
    holding: set[str] = set()
    longest, since = 0.0, None
    for at, node, text in sorted(lines):
        if _GAINS.search(text):
            holding.add(node)
            if since is not None:
                longest, since = max(longest, at - since), None
        elif _LOSES.search(text) and node in holding:
            holding.remove(node)
            if not holding:
                since = at
    return max(longest, until - since) if since is not None else longest


def play(bench: str, site: str, number: int, drawn: list[Trouble]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        file, report = Path(folder, f"combination-{number}.toml"), Path(folder, "report.json")
        file.write_text(day(number, drawn))
        call = [bench, "run", site, str(file), "--no-cpu", "--until", str(UNTIL)]
        call += ["--log", "info", "--report", str(report)]
        run = subprocess.run(call, capture_output=True, text=True, check=False)
        try:
            figures = json.loads(report.read_text())
        except FileNotFoundError:
            return {"number": number, "drawn": drawn, "failed": run.stdout[-500:] + run.stderr[-500:]}
    tasks = [window["tasks"] for window in figures["windows"]]
    times = [window["at_s"] for window in figures["windows"]]
    before = max((count for at, count in zip(times, tasks, strict=True) if FIRST - 15 < at <= FIRST - 3), default=0)
    least = min((count for at, count in zip(times, tasks, strict=True) if at > FIRST), default=0)
    return {
        "number": number,
        "site": Path(site).stem,
        "drawn": drawn,
        "rules": figures["rules_broken"]["total"],
        "killed": figures["fleet"]["tasks_killed_by_lease"],
        "before": before,
        "least": least,
        "alone_s": round(alone(run.stdout + run.stderr, figures["events"], UNTIL), 1),
    }


def worth_a_look(found: dict[str, Any]) -> bool:
    if "failed" in found or found["rules"]:
        return True
    fell = found["least"] < FALLEN * found["before"]
    return bool(found["killed"] or found["alone_s"] > MOST_ALONE or fell)


@click.command()
@click.option("--bench", required=True, help="the bench's program")
@click.option("--site", "sites", multiple=True, required=True, help="site file; several are taken in turn")
@click.option("--count", default=300, show_default=True)
@click.option("--first", default=0, show_default=True, help="number of the first one")
@click.option("--seed", default=1, show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, help="days at once")
@click.option("--out", type=click.Path(dir_okay=False), help="all of them, as JSON lines")
def main(bench: str, sites: tuple[str, ...], count: int, first: int, seed: int, jobs: int, out: str | None) -> None:
    """Plays drawn combinations of troubles and lists those worth a look."""
    loaded = {site: tomllib.loads(Path(site).read_text()) for site in sites}

    def one(number: int) -> dict[str, Any]:
        site = sites[number % len(sites)]
        return play(bench, site, number, draw(np.random.default_rng([seed, number]), loaded[site]))

    with ThreadPoolExecutor(jobs) as pool:
        for found in pool.map(one, range(first, first + count)):
            if out is not None:
                with open(out, "a") as file:
                    file.write(json.dumps(found) + "\n")
            if worth_a_look(found):
                click.echo(json.dumps(found))


if __name__ == "__main__":
    main()
