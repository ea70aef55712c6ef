"""Read-only administration API, request log and Prometheus metrics."""

from hawthornmast.administration.metrics import BadInput
from hawthornmast.administration.metrics import Direction
from hawthornmast.administration.metrics import Metrics
from hawthornmast.administration.requests import RequestLog
from hawthornmast.administration.requests import RequestRecord
from hawthornmast.administration.server import AdministrationServer

__all__ = [
    "AdministrationServer",
    "BadInput",
    "Direction",
    "Metrics",
    "RequestLog",
    "RequestRecord",
]
