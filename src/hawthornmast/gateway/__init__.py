"""Fleet member for a platform that it can only read.

In contrast to ``hawthornmast.daemon``, members discover each other, the
configuration is one document with routes by host and path, and clients send
each attempt once, without tickets.
"""

from hawthornmast.gateway.member import GatewayMember
from hawthornmast.gateway.options import Bounds
from hawthornmast.gateway.options import GatewayOptions
from hawthornmast.gateway.sources import PlatformSource
from hawthornmast.gateway.upstreams import UpstreamDialect

__all__ = [
    "Bounds",
    "GatewayMember",
    "GatewayOptions",
    "PlatformSource",
    "UpstreamDialect",
]
