"""Authorization of requests by the keys of teams."""

from result import Err
from result import Ok
from result import Result

from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.routing import Configuration
from hawthornmast.routing import Route
from hawthornmast.routing import Team


def assign_team(
    configuration: Configuration, route: Route, request: ClientRequest
) -> Result[Team | None, str]:
    """Set the team of a request; the error is the reason of a refusal.

    The team is None if the configuration has no teams, or if a public route
    is requested without a valid key. A request that was authorized by an
    earlier configuration with teams keeps its key from upstreams when the
    newest has none.

    Parameters
    ----------
    configuration
        The configuration in force. A key that it doesn't contain is unknown,
        whether it was withdrawn or never valid.
    route
        Route of the request.
    request
        The request, with the digest of its key.
    """
    if configuration.teams is None:
        return Ok(None)
    team = None
    if request.key_digest is not None:
        team = configuration.find_team(request.key_digest)
    request.team = team.name if team is not None else ""
    if team is not None or route.public:
        return Ok(team)
    return Err(request.key_error or "key-unknown")
