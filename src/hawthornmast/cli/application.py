"""Application of the ``hawthornmast`` command."""

from cleo.application import Application

import hawthornmast
from hawthornmast.cli import inspection
from hawthornmast.cli import process


def build_application() -> Application:
    """Return the application with all subcommands."""
    application = Application("hawthornmast", hawthornmast.__version__)
    application.auto_exits(False)
    application.add(process.DaemonCommand())
    application.add(process.CheckCommand())
    application.add(inspection.ExplainCommand())
    application.add(inspection.StatusCommand())
    return application


def main() -> int:
    """Run the command and return its exit status."""
    return build_application().run()
