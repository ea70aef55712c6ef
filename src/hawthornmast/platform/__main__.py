"""Runs one member on the platform."""

import os
import sys

from hawthornmast.platform.listening import open_front


def main() -> int:
    """Open the clients' port, then import and run the rest."""
    path = os.environ.get(
        "HAWTHORNMAST_CONFIG", "/etc/hawthornmast/settings.conf"
    )
    listener = open_front(path)
    from hawthornmast.platform.process import run_process

    return run_process(path, listener=listener)


if __name__ == "__main__":
    sys.exit(main())
