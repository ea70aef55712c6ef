"""State that members exchange: summaries in datagrams and whole snapshots.

The state of a member is its configuration and its list of upstreams.
"""

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
    """

    version: int
    configuration_age_s: float
    revision: int
    digest: bytes
    listing_age_s: float
    configuration_read: ReadId | None = None
    listing_read: ReadId | None = None


SUMMARY_FIELDS = len(attrs.fields(StateSummary))


def decode_summary(value: Any) -> StateSummary:
    """Decode the state summary in a datagram.

    Raises
    ------
    ValueError, TypeError
        If the value is malformed.
    """
    # Earlier versions don't name the reads.
    version, configuration_age_s, revision, digest, listing_age_s, *reads = (
        value
    )
    configuration_read, listing_read = reads or (None, None)
    return StateSummary(
        version=int(version),
        configuration_age_s=float(configuration_age_s),
        revision=int(revision),
        digest=bytes(digest),
        listing_age_s=float(listing_age_s),
        configuration_read=decode_read_id(configuration_read),
        listing_read=decode_read_id(listing_read),
    )


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
    """

    configuration: Configuration | None
    encoded_list: Any
    listing_age_s: float
    listing_read: ReadId | None = None


def decode_snapshot(body: bytes) -> Result[StateSnapshot, str]:
    """Decode the snapshot of a peer; the error is a description."""
    try:
        compressed, encoded_list, age, *reads = msgpack.unpackb(body)
        configuration = None
        if compressed is not None:
            configuration = decode_configuration(_decompress(compressed))
        return Ok(
            StateSnapshot(
                configuration=configuration,
                encoded_list=encoded_list,
                listing_age_s=float(age),
                listing_read=decode_read_id(reads[0] if reads else None),
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
