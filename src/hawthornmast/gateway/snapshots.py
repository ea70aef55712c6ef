"""State that members exchange: summaries in datagrams and whole snapshots.

The state of a member is its configuration and its list of upstreams.
"""

import reprlib
from typing import Any
import zlib

import attrs
import msgpack
from result import Err
from result import Ok
from result import Result

from hawthornmast import http
from hawthornmast.audit import describe_error
from hawthornmast.common import Instance
from hawthornmast.common import StepError
from hawthornmast.gateway.confirmations import decode_read_id
from hawthornmast.gateway.confirmations import ReadId
from hawthornmast.routing import Configuration
from hawthornmast.routing import decode_configuration

SNAPSHOT_PATH = "/v1/snapshot"
PULL_TIMEOUT_S = 1.0

MAX_CONFIGURATION_BYTES = 16_777_216
"""Maximum uncompressed size of a configuration received from a peer."""


def _decompress(data: bytes) -> Any:
    """Return the value that a peer compressed.

    Raises
    ------
    ValueError, zlib.error
        If the data is truncated, too long or not compressed.
    """
    stream = zlib.decompressobj()
    packed = stream.decompress(data, MAX_CONFIGURATION_BYTES)
    if not stream.eof:
        raise ValueError(
            "configuration is truncated or longer than"
            f" {MAX_CONFIGURATION_BYTES} bytes"
        )
    return msgpack.unpackb(packed)


@attrs.frozen(kw_only=True)
class EraSummary:
    """What a summary states of the platform's era.

    It is encoded by the order of its fields, not by their names.

    Parameters
    ----------
    era
        Era of the list of upstreams; 0 on platforms without eras.
    first_revision
        The lowest revision that the member knows of in that era, None if it
        knows none.
    configuration_era
        Era in which its configuration is known to be the operator's newest.
    configuration_written
        Revision at which its configuration was written, as read in the era;
        0 if it isn't known.
    configuration_digest
        Digest of its configuration.
    held_digest
        Digest of the upstreams that it holds back.
    """

    era: int = 0
    first_revision: int | None = None
    configuration_era: int = 0
    configuration_written: int = 0
    configuration_digest: bytes = b""
    held_digest: bytes = b""


@attrs.frozen(kw_only=True)
class StateSummary:
    """Versions and ages of a member's state; fits into one datagram.

    It is encoded by the order of its fields, not by their names.

    Parameters
    ----------
    version
        Version of its configuration, 0 if it has none.
    configuration_age_s
        Seconds since the configuration was last confirmed by the platform.
    revision, digest
        Revision and digest of its list of upstreams.
    listing_age_s
        Seconds since the list was last confirmed by the platform.
    configuration_read, listing_read
        The reads that confirmed them; None if they aren't known.
    eras
        What it states of the platform's era.
    """

    version: int
    configuration_age_s: float
    revision: int
    digest: bytes
    listing_age_s: float
    configuration_read: ReadId | None = None
    listing_read: ReadId | None = None
    eras: EraSummary = attrs.Factory(EraSummary)


def encode_summary(summary: StateSummary) -> list[Any]:
    """Encode a state summary for a datagram.

    Without eras, earlier versions can decode it.
    """
    *fields, eras = attrs.astuple(summary)
    return [*fields, eras] if summary.eras.era else fields


SUMMARY_FIELDS = len(attrs.fields(StateSummary)) - 1
"""Number of fields of an encoded summary without eras."""


def decode_summary(value: Any) -> StateSummary:
    """Decode the state summary in a datagram.

    Raises
    ------
    ValueError, TypeError
        If the value is malformed.
    """
    version, configuration_age_s, revision, digest, listing_age_s, *rest = (
        value
    )
    # Earlier versions don't name the reads. Without eras there is no third.
    configuration_read, listing_read, *eras = rest or (None, None)
    if len(eras) > 1:
        raise ValueError(f"summary has {len(value)} fields, allowed: 8")
    return StateSummary(
        version=int(version),
        configuration_age_s=float(configuration_age_s),
        revision=int(revision),
        digest=bytes(digest),
        listing_age_s=float(listing_age_s),
        configuration_read=decode_read_id(configuration_read),
        listing_read=decode_read_id(listing_read),
        eras=_decode_era_summary(eras[0]) if eras else EraSummary(),
    )


def _decode_era_summary(value: Any) -> EraSummary:
    era, first_revision, configuration_era, written, digest, held_digest = (
        value
    )
    return EraSummary(
        era=_decode_era(era),
        first_revision=None if first_revision is None else int(first_revision),
        configuration_era=_decode_era(configuration_era),
        configuration_written=int(written),
        configuration_digest=bytes(digest),
        held_digest=bytes(held_digest),
    )


def _decode_era(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(
            f"era is {reprlib.repr(value)}, allowed: an integer from 0"
        )
    return value


@attrs.frozen(kw_only=True)
class StateSnapshot:
    """State of a peer.

    Parameters
    ----------
    configuration
        Its configuration, None if the receiver has the version.
    encoded_list
        Its list of upstreams, as ``UpstreamListing.encode`` returns it, None
        if it has none.
    listing_age_s
        Seconds since the list was last confirmed by the platform.
    listing_read
        The read that confirmed it; None if the peer doesn't name it.
    eras
        Eras of the list and the configuration. The digests are missing.
    departures
        Upstreams that it holds back, as ``DepartureLog.encode`` returns
        them, None if there are no eras.
    """

    configuration: Configuration | None
    encoded_list: Any
    listing_age_s: float
    listing_read: ReadId | None = None
    eras: EraSummary = attrs.Factory(EraSummary)
    departures: Any = None


def encode_snapshot(
    *,
    compressed: bytes | None,
    encoded_list: Any,
    listing_age_s: float,
    listing_read: ReadId | None,
    eras: EraSummary,
    departures: Any,
    with_reads: bool,
) -> bytes:
    """Encode a snapshot for a peer.

    Parameters
    ----------
    compressed
        Compressed configuration, None if the peer has it.
    encoded_list, listing_age_s, listing_read, eras, departures
        As in ``StateSnapshot``.
    with_reads
        Whether the peer knows of reads. Earlier versions refuse them.
    """
    fields: list[Any] = [compressed, encoded_list, listing_age_s]
    if with_reads:
        read = None if listing_read is None else attrs.astuple(listing_read)
        fields.append(read)
        if eras.era:
            fields.append(
                [
                    eras.era,
                    eras.first_revision,
                    eras.configuration_era,
                    eras.configuration_written,
                    departures,
                ]
            )
    packed: bytes = msgpack.packb(fields)
    return packed


def decode_snapshot(body: bytes) -> Result[StateSnapshot, str]:
    """Decode the snapshot of a peer; the error is a description."""
    try:
        compressed, encoded_list, age, *rest = msgpack.unpackb(body)
        # Earlier versions don't name the read.
        read, *optional = rest or (None,)
        eras, departures = EraSummary(), None
        if optional:
            *era_fields, departures = optional[0]
            eras = _decode_era_summary([*era_fields, b"", b""])
        configuration = None
        if compressed is not None:
            configuration = decode_configuration(_decompress(compressed))
        return Ok(
            StateSnapshot(
                configuration=configuration,
                encoded_list=encoded_list,
                listing_age_s=float(age),
                listing_read=decode_read_id(read),
                eras=eras,
                departures=departures,
            )
        )
    except (
        ValueError,
        TypeError,
        IndexError,
        zlib.error,
        msgpack.UnpackException,
    ) as error:
        return Err(describe_error(error))


async def fetch_snapshot(
    peer: Instance, version: int
) -> Result[bytes, StepError]:
    """Fetch the encoded state of a peer.

    Parameters
    ----------
    version
        Version of this member's configuration, which the peer leaves out.
    """
    result = await http.fetch(
        peer.host,
        peer.peer_port,
        "GET",
        f"{SNAPSHOT_PATH}?version={version}&reads=1",
        timeout=PULL_TIMEOUT_S,
    )
    return result.map(lambda response: response.body)
