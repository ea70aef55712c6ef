"""Service catalogue: document parsing, validation and route matching."""

from typing import TYPE_CHECKING

from hawthornmast.lazy import make_getattr

if TYPE_CHECKING:
    from hawthornmast.catalogue.documents import format_service
    from hawthornmast.catalogue.documents import parse_service
    from hawthornmast.catalogue.paths import split_path
    from hawthornmast.catalogue.problems import Problem
    from hawthornmast.catalogue.service import Entry
    from hawthornmast.catalogue.service import MAX_OWNERS_PER_ZONE
    from hawthornmast.catalogue.service import Mismatch
    from hawthornmast.catalogue.service import NoEntry
    from hawthornmast.catalogue.service import Service


__all__ = [
    "Entry",
    "MAX_OWNERS_PER_ZONE",
    "Mismatch",
    "NoEntry",
    "Problem",
    "Service",
    "format_service",
    "parse_service",
    "split_path",
]

__getattr__ = make_getattr(
    __name__,
    {
        "format_service": "documents",
        "parse_service": "documents",
        "split_path": "paths",
        "Problem": "problems",
        "Entry": "service",
        "MAX_OWNERS_PER_ZONE": "service",
        "Mismatch": "service",
        "NoEntry": "service",
        "Service": "service",
    },
)
