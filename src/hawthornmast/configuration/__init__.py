"""Reading, distribution and validation of published documents."""

from hawthornmast.configuration.distributor import Distributor
from hawthornmast.configuration.messages import Announce
from hawthornmast.configuration.messages import Fetch
from hawthornmast.configuration.messages import FetchReply
from hawthornmast.configuration.messages import IndexDigest
from hawthornmast.configuration.messages import IndexPage
from hawthornmast.configuration.messages import IndexRequest
from hawthornmast.configuration.messages import MESSAGE_TYPES
from hawthornmast.configuration.platform import PlatformClient
from hawthornmast.configuration.store import compute_digest
from hawthornmast.configuration.store import ConfigurationStore

__all__ = [
    "Announce",
    "ConfigurationStore",
    "Distributor",
    "Fetch",
    "FetchReply",
    "IndexDigest",
    "IndexPage",
    "IndexRequest",
    "MESSAGE_TYPES",
    "PlatformClient",
    "compute_digest",
]
