"""How an upstream stand-in behaves; set while it runs."""

import attrs


@attrs.define(kw_only=True)
class Faults:
    """How the upstream behaves; each field can be set while it runs.

    Parameters
    ----------
    service_s
        Seconds that a request takes.
    slow_factor
        Multiplies the service time.
    cold_s, cold_factor
        The service time is multiplied for the first seconds.
    error_rate
        Share of the requests that get a 500.
    shed_all, certified
        Shed each request; say by header that it was not run.
    leaving
        Announce in responses and by the health endpoint that the upstream
        leaves.
    leaving_health
        Announce it by the health endpoint only.
    mute
        Read requests and never answer (one-way partition).
    run_muted
        Run the requests that are not answered.
    cut
        ``short`` (of the declared length), ``chunked`` (without an end),
        ``close`` (delimited by the connection), ``head`` (within the head),
        ``none`` (close instead of an answer) or empty.
    old
        Answer with HTTP/1.0.
    refuse_reused
        Close a kept connection as a request arrives.
    late_s
        Seconds between the end of the work and the answer.
    crossed
        Answer with the answer to the previous request.
    two_lengths
        Declare the body's length in two ways.
    informational
        Send a 103 before the answer.
    status
        Status of an ordinary answer.
    extra_headers
        Pairs added to each answer.
    body_bytes
        Length to which an answer's body is filled up.
    keyed_bytes
        When not 0, the body is the one that the request key determines, of
        up to this length.
    chunked
        Send complete answers in chunks.
    health, load
        What the endpoints say; None for the truth.
    """

    service_s: float = 0.0
    slow_factor: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 10.0
    error_rate: float = 0.0
    shed_all: bool = False
    certified: bool = True
    leaving: bool = False
    leaving_health: bool = False
    mute: bool = False
    run_muted: bool = True
    cut: str = ""
    old: bool = False
    refuse_reused: bool = False
    late_s: float = 0.0
    crossed: bool = False
    two_lengths: bool = False
    informational: bool = False
    status: int = 200
    extra_headers: list[list[str]] = attrs.Factory(list)
    body_bytes: int = 0
    keyed_bytes: int = 0
    chunked: bool = False
    health: int | None = None
    load: float | None = None
