"""The script that runs scenarios at other sizes: how it scales a site, and which reports it counts as failed."""

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

FAILURES: dict[str, dict[str, Any]] = {
    "rules": {"rules_broken": {"total": 1, "by_kind": {"quota": 1}}},
    "c below half": {"classes": {"c": {"accepted": 22, "cancelled": 2, "started": 15, "done": 9}}},
    "team red below half": {"teams": {"red": {"jobs": 22, "started": 10}}},
    "ended by themselves": {
        "node_stats": [{"memory_peak_mb": 1, "connections_peak": 1, "panics": 0, "restarts": [{"why": "memory"}]}]
    },
    "costs over": {"machine_speed": 0.9},
}


def test_site_scaled_to_one_and_a_half_times() -> None:
    scaled = scale_site(SITE, 1.5, machines_only=False, restart_delay_s=0.3, nodes=None)
    assert scaled["capacity"] == [{"type": "box", "zone": "a", "count": 150, "spot": 46}]
    assert scaled["machines"] == [{"type": "box", "zone": "a", "spot": False, "count": 10}]
    assert (scaled["jobs"][0]["arrivals"]["rate"], scaled["jobs"][0]["initial"]) == (pytest.approx(0.6), 15)
    assert scaled["teams"][0] == {"name": "red", "weight": 0.5, "cpus": 15.0, "cpus_max": 30.0}
    assert scaled["nodes"] == {"count": 3, "restart_delay_s": 0.3}
    larger = scale_site(SITE, 1.5, machines_only=True, restart_delay_s=None, nodes=7)
    assert (larger["capacity"][0]["count"], larger["jobs"], larger["teams"]) == (150, SITE["jobs"], SITE["teams"])
    assert larger["nodes"] == {"count": 7, "restart_delay_s": 5.0}


def test_scenario_without_failures_passes() -> None:
    outcome = evaluate_report(ScenarioRun(Path("site.toml"), 1.5, "calm", None), REPORT, 50.0)
    assert (outcome.reasons, outcome.cost, outcome.lowest_class, outcome.memory_mb) == (
        [],
        40.0,
        ("c", 0.75, 0.6),
        40.5,
    )


@pytest.mark.parametrize("reason", FAILURES)
def test_scenario_fails_with_one_reason(reason: str) -> None:
    outcome = evaluate_report(ScenarioRun(Path("site.toml"), 1.5, "calm", None), {**REPORT, **FAILURES[reason]}, 50.0)
    assert len(outcome.reasons) == 1
    assert reason in outcome.reasons[0]
