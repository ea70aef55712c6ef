"""HTTP/1.1 proxying: clients, upstreams, tickets and outcomes."""

from hawthornmast.forwarding.dialect import Dialect
from hawthornmast.forwarding.parsing import ClientLimits
from hawthornmast.forwarding.runtime import RequestReport
from hawthornmast.forwarding.runtime import ServiceDirectory
from hawthornmast.forwarding.runtime import ServiceRuntime
from hawthornmast.forwarding.server import ClientServer
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
