"""Minimal HTTP/1.1 server and client for control traffic, based on h11.

Control traffic is the traffic of the daemons themselves, such as calls to the
platform and to each other, health probes, administration and metrics. The
requests of clients to upstreams are forwarded by the ``forwarding`` package.
"""

from hawthornmast.http.client import Client
from hawthornmast.http.client import fetch
from hawthornmast.http.messages import json_response
from hawthornmast.http.messages import Request
from hawthornmast.http.messages import Response
from hawthornmast.http.server import Handler
from hawthornmast.http.server import open_server
from hawthornmast.http.server import serve_connection
from hawthornmast.http.statuses import check_status

__all__ = [
    "Client",
    "Handler",
    "Request",
    "Response",
    "check_status",
    "fetch",
    "json_response",
    "open_server",
    "serve_connection",
]
