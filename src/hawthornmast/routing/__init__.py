"""Routing by host and path prefix, and the configuration of the routes."""

from hawthornmast.routing.configuration import Configuration
from hawthornmast.routing.configuration import decode_configuration
from hawthornmast.routing.configuration import digest_key
from hawthornmast.routing.configuration import encode_configuration
from hawthornmast.routing.configuration import RequestLimits
from hawthornmast.routing.configuration import Route
from hawthornmast.routing.configuration import ServiceOptions
from hawthornmast.routing.configuration import Target
from hawthornmast.routing.configuration import Team
from hawthornmast.routing.published import PublishedConfiguration
from hawthornmast.routing.splits import SplitBalancer

__all__ = [
    "Configuration",
    "PublishedConfiguration",
    "RequestLimits",
    "Route",
    "ServiceOptions",
    "SplitBalancer",
    "Target",
    "Team",
    "decode_configuration",
    "digest_key",
    "encode_configuration",
]
