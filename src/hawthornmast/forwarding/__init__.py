"""HTTP/1.1 proxying: clients, upstreams, tickets and outcomes."""

from typing import TYPE_CHECKING

from hawthornmast.lazy import make_getattr

if TYPE_CHECKING:
    from hawthornmast.forwarding.dialect import Dialect
    from hawthornmast.forwarding.native import ClientServer
    from hawthornmast.forwarding.parsing import ClientLimits
    from hawthornmast.forwarding.runtime import RequestReport
    from hawthornmast.forwarding.runtime import ServiceDirectory
    from hawthornmast.forwarding.runtime import ServiceRuntime
    from hawthornmast.forwarding.server import ConnectionServer
    from hawthornmast.forwarding.tickets import TicketStore
    from hawthornmast.forwarding.upstream import UpstreamClient


__all__ = [
    "ClientLimits",
    "ClientServer",
    "ConnectionServer",
    "Dialect",
    "RequestReport",
    "ServiceDirectory",
    "ServiceRuntime",
    "TicketStore",
    "UpstreamClient",
]

__getattr__ = make_getattr(
    __name__,
    {
        "Dialect": "dialect",
        "ClientLimits": "parsing",
        "RequestReport": "runtime",
        "ServiceDirectory": "runtime",
        "ServiceRuntime": "runtime",
        "ClientServer": "native",
        "ConnectionServer": "server",
        "TicketStore": "tickets",
        "UpstreamClient": "upstream",
    },
)
