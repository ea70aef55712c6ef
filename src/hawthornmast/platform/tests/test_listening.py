"""The clients' port is open before the imports."""

import pathlib
import socket
import subprocess
import sys

from hawthornmast.platform.listening import open_front


def write(path: pathlib.Path, front: str) -> str:
    """Write a settings file and return its path."""
    file = path / "settings.conf"
    file.write_text(f"Node=n\nListen.Front={front}\nZone=a\n")
    return str(file)


class TestOpenFront:
    """Connections wait in the kernel; errors are left to the process."""

    def test_accepts_connections(self, tmp_path: pathlib.Path) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        listener = open_front(write(tmp_path, f"127.0.0.1:{port}"))
        assert listener is not None
        with listener, socket.create_connection(("127.0.0.1", port)):
            pass

    def test_settings_that_name_no_address(
        self, tmp_path: pathlib.Path
    ) -> None:
        assert open_front(str(tmp_path / "none")) is None
        assert open_front(write(tmp_path, "nowhere")) is None
        assert open_front(write(tmp_path, "127.0.0.1:99999")) is None

    def test_port_in_use(self, tmp_path: pathlib.Path) -> None:
        with socket.socket() as other:
            other.bind(("127.0.0.1", 0))
            other.listen()
            port = other.getsockname()[1]
            assert open_front(write(tmp_path, f"127.0.0.1:{port}")) is None

    def test_imports_nothing_slow(self) -> None:
        # Each import before the port is open refuses clients for longer.
        code = (
            "import sys, hawthornmast.platform.listening;"
            "print(any(m in sys.modules for m in ('trio', 'h11', 'attrs')))"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert done.stdout == "False\n"


class TestPublicNames:
    """The package's names are there without being imported at once."""

    def test_names(self) -> None:
        code = (
            "import hawthornmast;"
            "print([getattr(hawthornmast, n).__name__"
            " for n in hawthornmast.__all__ if n != '__version__'])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert done.stdout == (
            "['AuditTrail', 'Instance', 'Outcome', 'Rank', 'StepError',"
            " 'Upstream']\n"
        )

    def test_unknown_name(self) -> None:
        code = "import hawthornmast; hawthornmast.Unknown"
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        assert "has no attribute 'Unknown'" in done.stderr
