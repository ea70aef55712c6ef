"""Tests of the command that runs the tests."""

import types

import pytest

from tools import suite


def _run(monkeypatch, tmp_path, *, listed, failed):
    """Run the suite with a pytest that reports these failures."""
    known = tmp_path / "KNOWN-RED.txt"
    known.write_text("".join(f"test: {name}\n" for name in listed))
    monkeypatch.setattr(suite, "KNOWN_RED", known)

    def run_tests(arguments, plugins):
        # pytest adds its own options to the list it is given.
        arguments.append("-q")
        for name in failed:
            report = types.SimpleNamespace(
                failed=True, nodeid=name, when="call"
            )
            plugins[0].pytest_runtest_logreport(report)
        code = pytest.ExitCode.TESTS_FAILED if failed else pytest.ExitCode.OK
        return code

    monkeypatch.setattr(suite.pytest, "main", run_tests)
    return suite.main([])


class TestMain:
    @pytest.mark.parametrize(
        ("listed", "failed", "code"),
        [
            ((), (), 0),
            (("a",), ("a",), 0),
            ((), ("a",), 1),
            (("a",), ("a", "b"), 1),
            (("a",), (), 1),
        ],
        ids=["green", "known", "new", "known-and-new", "stale"],
    )
    def test_exit_code(self, monkeypatch, tmp_path, listed, failed, code):
        # Guards against a listed test that passes or is gone: the entry
        # would hide the next fault of that test.
        found = _run(monkeypatch, tmp_path, listed=listed, failed=failed)
        assert found == code
