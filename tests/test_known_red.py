"""Tests listed in KNOWN-RED.txt do not fail a run and are printed; errors in the list fail the run."""

import pytest

RED = "test_it.py::test_red | it is wrong | issue 1"


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
    assert "KNOWN RED test_it.py::test_red: it is wrong (issue 1)" in printed


def test_unlisted_test_fails_the_run(suite: pytest.Pytester) -> None:
    assert suite.runpytest_inprocess("-p", "no:cacheprovider").ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    ("listed", "message"),
    {
        "it passes": (RED + "\ntest_it.py::test_green | none | issue 1", "XPASS(strict)"),
        "it does not exist": (RED + "\ntest_it.py::test_blue | none | issue 1", "there is no test"),
        "no issue": ("test_it.py::test_red | it is wrong", "expected TEST | CAUSE | ISSUE"),
        "twice": (RED + "\n" + RED, "each test once"),
        "empty": ("\n", "the list is empty, delete the file"),
        "a fourth": ("\n".join(f"test_it.py::test_{n} | wrong | issue 1" for n in "abcd"), "at most 3 are allowed"),
    }.values(),
    ids=["it passes", "it does not exist", "no issue", "twice", "empty", "a fourth"],
)
def test_error_in_the_list_fails_the_run(suite: pytest.Pytester, listed: str, message: str) -> None:
    status, printed = _run_with_list(suite, listed)
    assert status not in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
    assert message in printed
