"""Tests of ``tools.suite``, which runs the tests."""

import types

import pytest

from tools import suite


def _run(monkeypatch, tmp_path, *, listed, failed):
    """Run the suite with a fake ``pytest.main`` that reports failures."""
    known = tmp_path / "KNOWN-RED.txt"
    known.write_text("".join(f"test: {name}\n" for name in listed))
    monkeypatch.setattr(suite, "KNOWN_RED", known)

    def run_tests(arguments, plugins):
        # pytest.main appends options to the list of arguments.
        arguments.append("-q")
        for name in failed:
            report = types.SimpleNamespace(
                failed=True, nodeid=name, when="call"
            )
            plugins[0].pytest_runtest_logreport(report)
        exit_code = (
            pytest.ExitCode.TESTS_FAILED if failed else pytest.ExitCode.OK
        )
        return exit_code

    monkeypatch.setattr(suite.pytest, "main", run_tests)
    return suite.main([])


class TestMain:
    @pytest.mark.parametrize(
        ("listed", "failed", "expected_code"),
        [
            ((), (), 0),
            (("a",), ("a",), 0),
            ((), ("a",), 1),
            (("a",), ("a", "b"), 1),
            (("a",), (), 1),
        ],
        ids=["green", "known", "new", "known-and-new", "stale"],
    )
    def test_exit_code(
        self, monkeypatch, tmp_path, listed, failed, expected_code
    ):
        # Guards against an entry for a test that passes or no longer exists,
        # which would hide the next failure of that test.
        exit_code = _run(monkeypatch, tmp_path, listed=listed, failed=failed)
        assert exit_code == expected_code
