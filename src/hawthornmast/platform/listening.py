"""Opens the clients' port before anything else is imported.

Connections then wait in the kernel while the process imports its modules,
instead of being refused. This module imports nothing outside the standard
library.
"""

import socket

BACKLOG = 512
_KEY = "Listen.Front="


def open_front(path: str) -> socket.socket | None:
    """Return a socket that listens on the clients' address.

    Returns None when the settings file can't be read, names no such address
    or the port can't be opened; the process reports that when it reads its
    settings and opens its ports itself.

    Parameters
    ----------
    path
        The settings file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            lines = [line for line in file if line.startswith(_KEY)]
        host, _, port = lines[-1][len(_KEY) :].strip().rpartition(":")
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
