"""Lists of instances, gossip membership and placement.

Operators publish the lists of daemons and upstreams on the platform (the
configuration store of the fleet) under ``instances/``. Where there is no list
of daemons, they find each other by gossip.
"""

from typing import TYPE_CHECKING

from hawthornmast.lazy import make_getattr

if TYPE_CHECKING:
    from hawthornmast.membership.directory import Directory
    from hawthornmast.membership.directory import is_daemons_key
    from hawthornmast.membership.directory import parse_daemons_at_key
    from hawthornmast.membership.lists import parse_daemons
    from hawthornmast.membership.lists import parse_upstreams
    from hawthornmast.membership.placement import neighbours_of
    from hawthornmast.membership.placement import owners_of
    from hawthornmast.membership.placement import readers_of
    from hawthornmast.membership.placement import score


__all__ = [
    "Directory",
    "is_daemons_key",
    "neighbours_of",
    "owners_of",
    "parse_daemons",
    "parse_daemons_at_key",
    "parse_upstreams",
    "readers_of",
    "score",
]

__getattr__ = make_getattr(
    __name__,
    {
        "Directory": "directory",
        "is_daemons_key": "directory",
        "parse_daemons_at_key": "directory",
        "parse_daemons": "lists",
        "parse_upstreams": "lists",
        "neighbours_of": "placement",
        "owners_of": "placement",
        "readers_of": "placement",
        "score": "placement",
    },
)
