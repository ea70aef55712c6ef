"""A fleet member that serves routes of a configuration it only reads.

It differs from ``hawthornmast.daemon`` in what its platform offers: daemons
find each other, configuration is one document with routes by host and path,
and clients send each attempt once, without tickets.
"""

from hawthornmast.gateway.member import GatewayMember
from hawthornmast.gateway.options import Bounds
from hawthornmast.gateway.options import GatewayOptions
from hawthornmast.gateway.sources import Source
from hawthornmast.gateway.upstreams import UpstreamDialect

__all__ = [
    "Bounds",
    "GatewayMember",
    "GatewayOptions",
    "Source",
    "UpstreamDialect",
]
