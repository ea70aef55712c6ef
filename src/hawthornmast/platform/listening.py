"""Opens the client port before any other module is imported.

Connections are then queued by the kernel while the process imports its
modules, instead of being refused. This module imports only the standard
library, since each import before the port is open extends the time in which
connections are refused.
"""

import socket

BACKLOG = 512
_SETTING_PREFIX = "Listen.Front="


def open_client_listener(path: str) -> socket.socket | None:
    """Return a socket that listens on the client address.

    Returns None when the settings file can't be read, has no valid client
    address, or the port can't be opened. The process reports the error when
    it loads its settings and opens its ports.

    Parameters
    ----------
    path
        Path of the settings file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            lines = [line for line in file if line.startswith(_SETTING_PREFIX)]
        host, _, port = (
            lines[-1][len(_SETTING_PREFIX) :].strip().rpartition(":")
        )
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except (OSError, ValueError, IndexError):
        return None
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, ValueError, OverflowError):
        listener.close()
        return None
    listener.setblocking(False)
    return listener
