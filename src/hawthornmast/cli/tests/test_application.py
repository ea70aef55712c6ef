"""Tests of the command with cleo's application tester."""

import pathlib
import sys
import types

from cleo.testers.application_tester import ApplicationTester
import pytest
from result import Err
import trio

from hawthornmast import administration
from hawthornmast import audit
from hawthornmast import cli
from hawthornmast.cli import inspection

ROOT = pathlib.Path(__file__).parents[4]
SETTINGS = ROOT / "examples" / "settings.toml"


@pytest.fixture
def tester(monkeypatch):
    # Help texts are wrapped to the width of the terminal.
    monkeypatch.setenv("COLUMNS", "80")
    return ApplicationTester(cli.build_application())


class TestHelp:
    @pytest.mark.parametrize(
        "command", ["list", "daemon", "check", "explain", "status"]
    )
    def test_help(self, tester, snapshot, command):
        arguments = command if command == "list" else f"{command} --help"
        assert tester.execute(arguments) == 0
        assert tester.io.fetch_output() == snapshot


class TestCheck:
    def test_examples_are_valid(self, tester):
        # Guards against examples that the parsers reject.
        files = [SETTINGS, *sorted(ROOT.glob("examples/*/*.toml"))]
        assert len(files) == 7
        assert tester.execute(f"check {' '.join(map(str, files))}") == 0
        assert tester.io.fetch_output().count("valid") == 7

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("[instanc]\nid = 1\n[limits]\n", "f.toml: instanc: received"),
            ("name = 1\n[[entry]]\n", "f.toml: name: received 1"),
            ("[[", "f.toml: document: received a syntax error"),
        ],
        ids=["settings", "catalogue", "syntax"],
    )
    def test_problems_give_exit_status_one(
        self, tester, tmp_path, monkeypatch, text, expected
    ):
        (tmp_path / "f.toml").write_text(text)
        monkeypatch.chdir(tmp_path)
        assert tester.execute("check f.toml") == 1
        assert expected in tester.io.fetch_error()

    def test_same_service_in_two_files(self, tester, tmp_path):
        # Guards against two files of which one would replace the other on the
        # platform.
        text = 'name="a"\nowner="t"\n[[entry]]\nname="e"\nowner="t"\n'
        for name in ("1", "2"):
            (tmp_path / name).write_text(text)
        status = tester.execute(f"check {tmp_path}/1 {tmp_path}/2")
        assert status == 1
        assert "a name that" in tester.io.fetch_error()


class TestDaemon:
    def test_runs_with_the_settings(self, tester, monkeypatch):
        settings_received = []
        module = types.ModuleType("hawthornmast.daemon")
        module.run_daemon = settings_received.append
        monkeypatch.setitem(sys.modules, "hawthornmast.daemon", module)
        assert tester.execute(f"daemon {SETTINGS}") == 0
        assert settings_received[0].instance.id == "entry-a1"

    def test_invalid_settings_give_exit_status_one(self, tester, tmp_path):
        assert tester.execute(f"daemon {tmp_path}/missing") == 1
        assert "a readable UTF-8 file" in tester.io.fetch_error()


class TestInspection:
    @pytest.mark.parametrize(
        ("arguments", "expected"),
        [
            ("explain reqest 1", "(nearest: request)"),
            ("explain entry billing", "allowed: SERVICE NAME"),
            ("status --admin localhost:1", "allowed: IP address and port"),
            ("status --admin 127.0.0.1:0", "allowed: IP address and port"),
        ],
    )
    def test_invalid_arguments(self, tester, arguments, expected):
        assert tester.execute(arguments) == 1
        assert expected in tester.io.fetch_error()

    @pytest.mark.parametrize(
        ("arguments", "status", "expected"),
        [
            ("status", 0, '"instance": "a1"'),
            (
                "explain upstream s u/1 --json",
                0,
                '"path": [ "s", "u/1" ]',
            ),
            ("explain entry s e", 1, "no entry 's/e' on this daemon"),
            ("explain request r1", 1, "latest 10000 requests"),
        ],
    )
    async def test_responses_of_a_daemon(
        self, nursery, tester, arguments, status, expected
    ):
        # Guards against paths that differ between the server and the
        # command.
        server = administration.AdministrationServer(
            "127.0.0.1",
            0,
            status=lambda: {"instance": "a1"},
            explain_upstream=lambda *terms: {"path": terms},
            explain_entry=lambda *terms: None,
            requests=administration.RequestLog(),
            audit=audit.AuditTrail(),
            registry=administration.Metrics().registry,
        )
        await server.start(nursery)
        exit_status = await trio.to_thread.run_sync(
            tester.execute, f"{arguments} --admin 127.0.0.1:{server.port}"
        )
        printed = tester.io.fetch_output() + tester.io.fetch_error()
        assert exit_status == status
        assert expected in " ".join(printed.split())
        await server.close()

    async def test_unreachable_daemon(self, tester):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        exit_status = await trio.to_thread.run_sync(
            tester.execute, f"status --admin 127.0.0.1:{port}"
        )
        assert exit_status == 1
        printed = tester.io.fetch_error()
        assert f"no response from 127.0.0.1:{port} at step connect" in printed
        assert "is --admin the administration" in printed


class TestParseAdmin:
    @pytest.mark.parametrize(
        ("text", "expected"),
        [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:9", ("::1", 9))],
    )
    def test_valid(self, text, expected):
        assert inspection.parse_admin(text).unwrap() == expected

    @pytest.mark.parametrize("text", ["", "1.2.3.4", ":80", "1.2.3.4:99999"])
    def test_invalid(self, text):
        assert isinstance(inspection.parse_admin(text), Err)
