"""Tests listed in KNOWN-RED.txt do not fail a run and are printed; errors in the list fail the run."""

import pytest

RED = "test_it.py::test_red | pytest test_it.py, seed 7 | it is wrong | issue 1"
CASE = "review/4/run.sh | bash review/4/run.sh, no seed | no leader for 75 s | issue 2"


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makeconftest("pytest_plugins = ['tests.known_red']")
    pytester.makepyfile(test_it="def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n")
    return pytester


def _run_with_list(suite: pytest.Pytester, listed: str) -> tuple[int, str]:
    (suite.path / "KNOWN-RED.txt").write_text(listed)
    result = suite.runpytest_inprocess("-p", "no:cacheprovider")
    return int(result.ret), str(result.stdout) + str(result.stderr)


def test_listed_test_does_not_fail_the_run_and_is_printed(suite: pytest.Pytester) -> None:
    status, printed = _run_with_list(suite, RED + "\n")
    assert status == pytest.ExitCode.OK
    assert "KNOWN RED test_it.py::test_red: it is wrong (issue 1; pytest test_it.py, seed 7)" in printed


def test_listed_review_cases_are_printed_and_not_run(suite: pytest.Pytester) -> None:
    """They take minutes and real processes; the operators list them like tests."""
    ran = suite.path / "ran"
    entries = [RED]
    for number in range(4, 9):  # more than the tests that may be listed
        script = suite.path / f"review/{number}/run.sh"
        script.parent.mkdir(parents=True)
        script.write_text(f"#!/bin/sh\ntouch {ran}\n")
        script.chmod(0o755)
        entries.append(CASE.replace("review/4", f"review/{number}"))
    status, printed = _run_with_list(suite, "\n".join(entries) + "\n")
    assert status == pytest.ExitCode.OK
    assert "KNOWN RED review/8/run.sh, not run here: no leader for 75 s (issue 2; bash review/8/run.sh" in printed
    assert not ran.exists()


def test_unlisted_test_fails_the_run(suite: pytest.Pytester) -> None:
    assert suite.runpytest_inprocess("-p", "no:cacheprovider").ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    ("listed", "message"),
    {
        "it passes": (RED + "\ntest_it.py::test_green | pytest | none | issue 1", "XPASS(strict)"),
        "it does not exist": (RED + "\ntest_it.py::test_blue | pytest | none | issue 1", "there is no test"),
        "the case does not exist": (RED + "\n" + CASE, "there is no case review/4/run.sh"),
        "no issue": ("test_it.py::test_red | pytest, seed 7 | it is wrong", "expected TEST | COMMAND AND SEED | WHAT"),
        "no command": ("test_it.py::test_red | | it is wrong | issue 1", "expected TEST | COMMAND AND SEED | WHAT"),
        "twice": (RED + "\n" + RED, "each test once"),
        "empty": ("\n", "the list is empty, delete the file"),
        "a fourth": (
            "\n".join(f"test_it.py::test_{n} | pytest | wrong | issue 1" for n in "abcd"),
            "at most 3 are allowed",
        ),
    }.values(),
    ids=[
        "it passes",
        "it does not exist",
        "the case does not exist",
        "no issue",
        "no command",
        "twice",
        "empty",
        "a fourth",
    ],
)
def test_error_in_the_list_fails_the_run(suite: pytest.Pytester, listed: str, message: str) -> None:
    status, printed = _run_with_list(suite, listed)
    assert status not in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
    assert message in printed
