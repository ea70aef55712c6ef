"""Fleet member for a platform that it can only read.

The platform is the environment of a deployment, which publishes the
configuration and the list of upstreams. In contrast to
``hawthornmast.daemon``, members don't register there but discover each other,
and the configuration is one document with routes by host and path. Each
request of a client is an attempt with an identifier of its own, which the
client sends only once. So no tickets are needed, which keep a request that is
sent repeatedly from running twice.
"""

from hawthornmast.gateway.calls import PlatformSource
from hawthornmast.gateway.member import GatewayMember
from hawthornmast.gateway.options import Bounds
from hawthornmast.gateway.options import GatewayOptions
from hawthornmast.gateway.upstreams import UpstreamDialect

__all__ = [
    "Bounds",
    "GatewayMember",
    "GatewayOptions",
    "PlatformSource",
    "UpstreamDialect",
]
