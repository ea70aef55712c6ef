"""A configuration as it was read from the platform."""

import attrs

from hawthornmast.common import EraRevision
from hawthornmast.routing.configuration import Configuration


@attrs.frozen(kw_only=True)
class PublishedConfiguration:
    """A configuration with the place of its write in the platform's history.

    Parameters
    ----------
    configuration
        The configuration.
    position
        Era and revision of the platform at the time of the read.
    written
        Revision at which the configuration was written.
    """

    configuration: Configuration
    position: EraRevision = attrs.Factory(EraRevision)
    written: int = 0
