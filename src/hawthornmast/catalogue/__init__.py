"""Service catalogue: document parsing, validation and route matching."""

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
