"""The list of tests that are known to fail: passed over, printed, and never a way round a test."""

import pytest

RED = "test_it.py::test_red | it is wrong | issue 1"


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makeconftest("pytest_plugins = ['tests.known_red']")
    pytester.makepyfile(test_it="def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n")
    return pytester


def _ends(suite: pytest.Pytester, listed: str) -> tuple[int, str]:
    (suite.path / "KNOWN-RED.txt").write_text(listed)
    result = suite.runpytest_inprocess("-p", "no:cacheprovider")
    return int(result.ret), str(result.stdout) + str(result.stderr)


def test_a_listed_test_is_passed_over_and_named(suite: pytest.Pytester) -> None:
    status, printed = _ends(suite, RED + "\n")
    assert status == pytest.ExitCode.OK
    assert "KNOWN RED test_it.py::test_red: it is wrong (issue 1)" in printed


def test_others_fail_as_ever(suite: pytest.Pytester) -> None:
    assert suite.runpytest_inprocess("-p", "no:cacheprovider").ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    ("listed", "says"),
    {
        "it passes": (RED + "\ntest_it.py::test_green | none | issue 1", "XPASS(strict)"),
        "it does not exist": (RED + "\ntest_it.py::test_blue | none | issue 1", "there is no test"),
        "no issue": ("test_it.py::test_red | it is wrong", "expected TEST | CAUSE | ISSUE"),
        "twice": (RED + "\n" + RED, "each test once"),
        "empty": ("\n", "an empty list is no file"),
        "a fourth": ("\n".join(f"test_it.py::test_{n} | wrong | issue 1" for n in "abcd"), "3 at the most"),
    }.values(),
    ids=["it passes", "it does not exist", "no issue", "twice", "empty", "a fourth"],
)
def test_the_list_is_checked(suite: pytest.Pytester, listed: str, says: str) -> None:
    status, printed = _ends(suite, listed)
    assert status not in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
    assert says in printed
