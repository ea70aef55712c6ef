"""What a member states and accepts by the era of the platform."""

from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from hawthornmast.common import StepError
from hawthornmast.gateway.snapshots import EraSummary
from hawthornmast.gateway.versions import ConfigurationState
from hawthornmast.membership.eras import EraTracker
from hawthornmast.membership.listing import UpstreamListing

_T = TypeVar("_T")


def summarize_eras(
    listing: UpstreamListing, state: ConfigurationState
) -> EraSummary:
    """Return what a member states of the era of its list.

    The member may know of a newer era, of which it has no list yet.
    """
    era = listing.position.era
    if not era:
        return EraSummary()
    eras, written = listing.eras, state.written
    return EraSummary(
        era=era,
        first_revision=eras.first_revision if era == eras.era else None,
        configuration_era=state.order.era,
        configuration_written=written.number if written.era == era else 0,
        configuration_digest=state.digest(),
        held_digest=listing.departures.digest,
    )


def refuse_older(
    value: _T, era: int | None, eras: EraTracker
) -> Result[_T, StepError]:
    """Refuse what was read of an era before the newest known one.

    Parameters
    ----------
    era
        None if nothing was found, so that there is nothing to refuse.
    """
    if era is None or era >= eras.era:
        return Ok(value)
    detail = f"era {era} is older than {eras.era}"
    return Err(StepError(step="read", detail=detail))
