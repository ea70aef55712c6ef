"""Runs one member on the platform."""

import os
import sys

from hawthornmast.platform.process import run_process

if __name__ == "__main__":
    sys.exit(run_process(os.environ))
