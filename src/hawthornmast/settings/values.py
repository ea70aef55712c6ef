"""Tables of the settings file of one process."""

import attrs

from hawthornmast.catalogue import rules
from hawthornmast.catalogue.tables import rule_metadata
from hawthornmast.common import Instance

_HOST = rules.Address()
_ADMIN_HOST = rules.Address(allow_unspecified=True)
_MILLISECONDS = rules.Integer(low=1, high=600_000, unit="milliseconds")
_GRACE_MILLISECONDS = rules.Integer(low=0, high=600_000, unit="milliseconds")
_RECORDS = rules.Integer(low=1, high=1_000_000, unit="records")


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Identity and addresses of this process.

    Parameters
    ----------
    id
        Name that is unique in the fleet.
    zone
        Availability zone.
    host
        IP address for clients and other daemons.
    port
        TCP port for clients.
    peer_port
        TCP port for other daemons.
    admin_host
        IP address of the administration API.
    admin_port
        TCP port of the administration API.
    """

    id: str = attrs.field(metadata=rule_metadata(rules.NAME))
    zone: str = attrs.field(metadata=rule_metadata(rules.NAME))
    host: str = attrs.field(metadata=rule_metadata(_HOST))
    port: int = attrs.field(metadata=rule_metadata(rules.PORT))
    peer_port: int = attrs.field(metadata=rule_metadata(rules.PORT))
    admin_host: str = attrs.field(
        default="127.0.0.1", metadata=rule_metadata(_ADMIN_HOST)
    )
    admin_port: int = attrs.field(
        default=9180, metadata=rule_metadata(rules.PORT)
    )

    def to_instance(self) -> Instance:
        """Return the instance that these settings describe."""
        return Instance(
            instance_id=self.id,
            zone=self.zone,
            host=self.host,
            port=self.port,
            peer_port=self.peer_port,
        )


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Address of the platform, the configuration service.

    Parameters
    ----------
    host
        IP address of the platform.
    port
        TCP port of the platform.
    """

    host: str = attrs.field(metadata=rule_metadata(_HOST))
    port: int = attrs.field(metadata=rule_metadata(rules.PORT))


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Authentication of connections between daemons.

    Parameters
    ----------
    secrets
        Shared secrets. The first is used to sign; all are accepted.
    """

    secrets: tuple[str, ...] = attrs.field(
        repr=False,
        metadata=rule_metadata(
            rules.UniqueList(item=rules.Secret(), min_items=1, max_items=4)
        ),
    )


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on memory, connections and timeouts of one process.

    Parameters
    ----------
    max_connections
        Maximum of concurrent client connections.
    max_header_bytes
        Maximum size of a request line with its headers.
    max_body_bytes
        Maximum size of a request body.
    header_timeout_ms
        Maximum time from the first byte of a request to the end of its
        headers.
    body_timeout_ms
        Maximum time from the end of the headers to the end of the body.
    idle_timeout_ms
        Maximum idle time of a client connection.
    drain_grace_ms
        Minimum time for which a leaving daemon continues to serve.
    ticket_ttl_ms
        Time for which a ticket is valid and its first response is stored.
    answer_buffer_bytes
        Size up to which a response is buffered before it is streamed.
    max_tickets
        Maximum number of used tickets that are stored.
    audit_records
        Maximum number of automatic actions stored for explanations.
    request_records
        Maximum number of requests stored for explanations.
    """

    max_connections: int = attrs.field(
        default=10_000,
        metadata=rule_metadata(
            rules.Integer(low=1, high=1_000_000, unit="connections")
        ),
    )
    max_header_bytes: int = attrs.field(
        default=16_384,
        metadata=rule_metadata(
            rules.Integer(low=1024, high=1_048_576, unit="bytes")
        ),
    )
    max_body_bytes: int = attrs.field(
        default=1_048_576,
        metadata=rule_metadata(
            rules.Integer(low=0, high=1_073_741_824, unit="bytes")
        ),
    )
    header_timeout_ms: int = attrs.field(
        default=10_000, metadata=rule_metadata(_MILLISECONDS)
    )
    body_timeout_ms: int = attrs.field(
        default=30_000, metadata=rule_metadata(_MILLISECONDS)
    )
    idle_timeout_ms: int = attrs.field(
        default=60_000, metadata=rule_metadata(_MILLISECONDS)
    )
    # Clients may use an address response for up to this time after it was
    # sent. A leaving daemon serves for at least as long, since clients may
    # still connect to it.
    drain_grace_ms: int = attrs.field(
        default=5000, metadata=rule_metadata(_GRACE_MILLISECONDS)
    )
    ticket_ttl_ms: int = attrs.field(
        default=60_000, metadata=rule_metadata(_MILLISECONDS)
    )
    answer_buffer_bytes: int = attrs.field(
        default=65_536,
        metadata=rule_metadata(
            rules.Integer(low=0, high=16_777_216, unit="bytes")
        ),
    )
    max_tickets: int = attrs.field(
        default=100_000,
        metadata=rule_metadata(
            rules.Integer(low=1, high=10_000_000, unit="tickets")
        ),
    )
    audit_records: int = attrs.field(
        default=10_000, metadata=rule_metadata(_RECORDS)
    )
    request_records: int = attrs.field(
        default=10_000, metadata=rule_metadata(_RECORDS)
    )


@attrs.frozen(kw_only=True)
class LogSettings:
    """Log output on standard error.

    Parameters
    ----------
    level
        Minimum severity of the lines that are written.
    """

    level: str = attrs.field(
        default="info",
        metadata=rule_metadata(
            rules.Choice(names=("debug", "info", "warning", "error"))
        ),
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one process; ``limits`` and ``log`` have defaults."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    log: LogSettings = attrs.field(factory=LogSettings)
