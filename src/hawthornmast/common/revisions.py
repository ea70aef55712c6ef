"""Order of states of a platform whose counters may go back."""

import attrs


@attrs.frozen(order=True)
class EraRevision:
    """A counter of the platform, ordered by the era in which it counted.

    The platform may return to an older copy. Its counters go back then, and
    it begins a new era.

    Parameters
    ----------
    era
        Number of the era; 0 on platforms without eras.
    number
        Revision of the platform, or version of a configuration.
    """

    era: int = 0
    number: int = 0
