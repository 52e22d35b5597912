"""The script that plays days at other sizes: what it grows, and when it says that a day failed."""

from pathlib import Path
from typing import Any

import pytest

from bench.acceptance import ScenarioRun, evaluate_report, scale_site

SITE: dict[str, Any] = {
    "nodes": {"count": 3, "restart_delay_s": 5.0},
    "capacity": [{"type": "box", "zone": "a", "count": 100, "spot": 31}],
    "machines": [{"type": "box", "zone": "a", "spot": False, "count": 7}],
    "jobs": [{"name": "c", "arrivals": {"rate": 0.4, "swing": 0.5}, "initial": 10}],
    "teams": [{"name": "red", "weight": 0.5, "cpus": 10.0, "cpus_max": 20.0}],
}

REPORT: dict[str, Any] = {
    "machine_speed": 0.5,
    "spent": {"world": [10.0, 1.0], "processes": [60.0, 9.0]},
    "fleet": {"tasks_killed_by_lease": 0},
    "classes": {"c": {"accepted": 22, "cancelled": 2, "started": 15, "done": 12}},
    "teams": {"red": {"jobs": 22, "started": 15}},
    "node_stats": [{"memory_peak_mb": 40.5, "connections_peak": 700, "panics": 0, "restarts": [{"why": "fault"}]}],
    "rules_broken": {"total": 0, "by_kind": {}},
}

FAILS: dict[str, dict[str, Any]] = {
    "rules": {"rules_broken": {"total": 1, "by_kind": {"quota": 1}}},
    "c below half": {"classes": {"c": {"accepted": 22, "cancelled": 2, "started": 15, "done": 9}}},
    "team red below half": {"teams": {"red": {"jobs": 22, "started": 10}}},
    "ended by themselves": {
        "node_stats": [{"memory_peak_mb": 1, "connections_peak": 1, "panics": 0, "restarts": [{"why": "memory"}]}]
    },
    "costs over": {"machine_speed": 0.9},
}


def test_a_site_half_as_large_again() -> None:
    grown = scale_site(SITE, 1.5, machines_only=False, restart_delay_s=0.3, nodes=None)
    assert grown["capacity"] == [{"type": "box", "zone": "a", "count": 150, "spot": 46}]
    assert grown["machines"] == [{"type": "box", "zone": "a", "spot": False, "count": 10}]
    assert (grown["jobs"][0]["arrivals"]["rate"], grown["jobs"][0]["initial"]) == (pytest.approx(0.6), 15)
    assert grown["teams"][0] == {"name": "red", "weight": 0.5, "cpus": 15.0, "cpus_max": 30.0}
    assert grown["nodes"] == {"count": 3, "restart_delay_s": 0.3}
    alone = scale_site(SITE, 1.5, machines_only=True, restart_delay_s=None, nodes=7)
    assert (alone["capacity"][0]["count"], alone["jobs"], alone["teams"]) == (150, SITE["jobs"], SITE["teams"])
    assert alone["nodes"] == {"count": 7, "restart_delay_s": 5.0}


def test_a_day_that_is_well() -> None:
    found = evaluate_report(ScenarioRun(Path("site.toml"), 1.5, "calm", None), REPORT, 50.0)
    assert (found.reasons, found.cost, found.lowest_class, found.memory_mb) == ([], 40.0, ("c", 0.75, 0.6), 40.5)


@pytest.mark.parametrize("why", FAILS)
def test_a_day_that_fails(why: str) -> None:
    found = evaluate_report(ScenarioRun(Path("site.toml"), 1.5, "calm", None), {**REPORT, **FAILS[why]}, 50.0)
    assert len(found.reasons) == 1
    assert why in found.reasons[0]
