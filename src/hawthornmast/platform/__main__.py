"""Entry point of a daemon on the platform."""

import os
import sys

from hawthornmast.platform.listening import open_client_listener


def main() -> int:
    """Open the client port before importing and running the daemon."""
    path = os.environ.get(
        "HAWTHORNMAST_CONFIG", "/etc/hawthornmast/settings.conf"
    )
    listener = open_client_listener(path)
    from hawthornmast.platform.process import run_process

    return run_process(path, listener=listener)


if __name__ == "__main__":
    sys.exit(main())
