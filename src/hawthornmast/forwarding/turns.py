"""One request of a client connection and its place in the order."""

import math

import attrs
import h11
import trio

from hawthornmast.forwarding.messages import BadInputError
from hawthornmast.forwarding.messages import ClientRequest
from hawthornmast.forwarding.messages import ClientResponse
from hawthornmast.forwarding.messages import Trace


@attrs.define(kw_only=True, eq=False)
class EarlyRun:
    """Progress of a request that runs before earlier ones are answered.

    Parameters
    ----------
    response
        None until the request has ended, and if it failed unexpectedly.
    """

    its_turn: trio.Event = attrs.Factory(trio.Event)
    ended: trio.Event = attrs.Factory(trio.Event)
    response: ClientResponse | None = None


@attrs.define(kw_only=True, eq=False)
class Turn:
    """A request that was read, or the input that was refused in its place.

    Parameters
    ----------
    parser
        Parser that read the request and frames the response to it.
    request
        None for input that is no request.
    refusal
        Response that was decided before the body was read.
    bad_input
        Why the input is refused.
    body_pending
        The body is read once all earlier requests are answered.
    body_bytes
        Size of the part of the body that is held in memory.
    held_bytes
        Size of a response that waits for its turn.
    scope
        Scope of the request while it runs.
    early
        Progress of a request that runs ahead of its turn, otherwise None.
    """

    parser: h11.Connection
    trace: Trace = attrs.Factory(Trace)
    request: ClientRequest | None = None
    refusal: ClientResponse | None = None
    bad_input: BadInputError | None = None
    body_pending: bool = False
    body_bytes: int = 0
    held_bytes: int = 0
    scope: trio.CancelScope | None = None
    early: EarlyRun | None = None

    @property
    def is_last(self) -> bool:
        """Whether no further request can be read after this one."""
        return (
            self.bad_input is not None
            or self.parser.their_state is not h11.DONE
        )

    def open_scope(self, deadline: float) -> trio.CancelScope:
        """Return the scope of the request, not entered yet."""
        self.scope = trio.CancelScope(deadline=deadline)
        if self.trace.client_disconnected:
            self.scope.cancel()
        return self.scope

    def cancel(self) -> None:
        """Cancel the request because its client can't get its response."""
        self.trace.client_disconnected = True
        if self.scope is not None:
            self.scope.cancel()

    def limit_time(self, end_at: float = math.inf) -> None:
        """End the request by a time."""
        if self.scope is not None:
            self.scope.deadline = min(self.scope.deadline, end_at)
