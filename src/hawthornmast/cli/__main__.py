"""Entry point of ``python -m hawthornmast.cli``."""

import sys

from hawthornmast.cli import main

if __name__ == "__main__":
    sys.exit(main())
