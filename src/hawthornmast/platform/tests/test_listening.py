"""Tests that the client port is opened before other imports."""

import pathlib
import socket
import subprocess
import sys

from hawthornmast.platform.listening import open_client_listener


def write_settings(folder: pathlib.Path, address: str) -> str:
    """Write a settings file and return its path."""
    file = folder / "settings.conf"
    file.write_text(f"Node=n\nListen.Front={address}\nZone=a\n")
    return str(file)


class TestOpenClientListener:
    """The socket accepts connections; errors give None."""

    def test_accepts_connections(self, tmp_path: pathlib.Path) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        listener = open_client_listener(
            write_settings(tmp_path, f"127.0.0.1:{port}")
        )
        assert listener is not None
        with listener, socket.create_connection(("127.0.0.1", port)):
            pass

    def test_settings_without_a_valid_address(
        self, tmp_path: pathlib.Path
    ) -> None:
        assert open_client_listener(str(tmp_path / "none")) is None
        assert (
            open_client_listener(write_settings(tmp_path, "nowhere")) is None
        )
        assert (
            open_client_listener(write_settings(tmp_path, "127.0.0.1:99999"))
            is None
        )

    def test_port_in_use(self, tmp_path: pathlib.Path) -> None:
        with socket.socket() as other:
            other.bind(("127.0.0.1", 0))
            other.listen()
            port = other.getsockname()[1]
            assert (
                open_client_listener(
                    write_settings(tmp_path, f"127.0.0.1:{port}")
                )
                is None
            )

    def test_does_not_import_dependencies(self) -> None:
        # Connections are refused until the port is open, and each import
        # before that extends this time.
        code = (
            "import sys, hawthornmast.platform.listening;"
            "print(any(m in sys.modules for m in ('trio', 'h11', 'attrs')))"
        )
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert completed.stdout == "False\n"


class TestPublicNames:
    """Public names of the package are imported on first use."""

    def test_names(self) -> None:
        code = (
            "import hawthornmast;"
            "print([getattr(hawthornmast, n).__name__"
            " for n in hawthornmast.__all__ if n != '__version__'])"
        )
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert completed.stdout == (
            "['AuditTrail', 'Instance', 'Outcome', 'Rank', 'StepError',"
            " 'Upstream']\n"
        )

    def test_unknown_name(self) -> None:
        code = "import hawthornmast; hawthornmast.Unknown"
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert "has no attribute 'Unknown'" in completed.stderr
