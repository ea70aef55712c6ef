"""Fault settings of an upstream stand-in."""

import attrs


@attrs.define(kw_only=True)
class Faults:
    """Behaviour of an upstream; each field can be set at run time.

    Parameters
    ----------
    service_s
        Seconds that a request takes.
    slow_factor
        Multiplies the service time.
    cold_s, cold_factor
        The service time is multiplied by ``cold_factor`` during the first
        ``cold_s`` seconds.
    error_rate
        Share of requests that fail with 500.
    shed_all, certified
        Shed each request; state by header that a shed request was not run.
    leaving
        Announce in responses and at the health endpoint that the upstream
        is leaving.
    leaving_health
        Announce it at the health endpoint only.
    mute
        Read requests and never respond, as in a one-way partition.
    run_muted
        Run the requests that get no response because of ``mute``.
    cut
        How responses end: ``short`` (before the declared length),
        ``chunked`` (without the last chunk), ``close`` (no declared length,
        delimited by closing the connection), ``head`` (within the header
        section), ``none`` (connection closed without a response) or empty
        for complete responses.
    old
        Respond with HTTP/1.0.
    refuse_reused
        Close a keep-alive connection when a second request arrives on it.
    late_s
        Seconds between the end of the execution and the response.
    endless
        What is sent without end, until the connection is closed, in place of
        a response: ``header`` (one header line), ``informational``
        (responses with status 103), ``unsigned`` (a body after a head that no
        execution produced), ``body`` (a body after the head of the response),
        ``chunk-size`` (the line that begins a chunk of it),
        ``small-chunks`` (chunks of one byte), ``trailer`` (a header after it)
        or empty for none of these.
    endless_pause_s
        Seconds between two pieces of an endless response.
    endless_piece_bytes
        Size of such a piece.
    stale_refusal
        Run requests, but send a refusal of another request right away, as
        not run.
    stale_status
        Status of this refusal.
    stale_key
        Key of the request that it names, empty for none.
    crossed
        Send the response of the previous request.
    late_copy
        When a further request arrives on a connection, send a copy of the
        connection's previous response first: ``whole``, ``half`` (its second
        half), ``unnamed`` (without the headers that name its request),
        ``broken-off`` (its first bytes) or empty for none.
    late_copy_bytes
        Number of bytes of a copy that is broken off.
    two_lengths
        Send both ``Content-Length`` and ``Transfer-Encoding``.
    informational
        Send a 103 response before the final one.
    status
        Status of successful responses.
    status_text
        Sent in place of the status of each response, whether or not it is
        one; None for the actual status.
    extra_headers
        Pairs of name and value with which each response begins.
    body_bytes
        Length to which response bodies are padded.
    keyed_bytes
        When not 0, bodies are those of ``standins.bodies``, of up to this
        length.
    chunked
        Send complete responses in chunked encoding.
    health, load
        Status of the health endpoint and the load that it reports; None for
        the actual values.
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
    endless: str = ""
    endless_pause_s: float = 0.0
    endless_piece_bytes: int = 1024
    stale_refusal: bool = False
    stale_status: int = 503
    stale_key: str = "another"
    crossed: bool = False
    late_copy: str = ""
    late_copy_bytes: int = 0
    two_lengths: bool = False
    informational: bool = False
    status: int = 200
    status_text: str | None = None
    extra_headers: list[list[str]] = attrs.Factory(list)
    body_bytes: int = 0
    keyed_bytes: int = 0
    chunked: bool = False
    health: int | None = None
    load: float | None = None
