"""Entry point of a daemon on the platform."""

import gc
import os
import sys

from hawthornmast.platform.signals import block_signals


def main() -> int:
    """Block signals and open the client port, then import and run the daemon.

    Imports take most of the time of a start. Signals and connections that
    arrive meanwhile wait for the daemon.
    """
    block_signals()
    # Nearly all objects of the imports live as long as the process; garbage
    # collections would only visit them again and again.
    gc.disable()
    from hawthornmast.platform.listening import open_client_listener

    path = os.environ.get(
        "HAWTHORNMAST_CONFIG", "/etc/hawthornmast/settings.conf"
    )
    listener = open_client_listener(path)
    from hawthornmast.platform.process import run_process

    gc.freeze()
    gc.enable()
    return run_process(path, listener=listener)


if __name__ == "__main__":
    sys.exit(main())
