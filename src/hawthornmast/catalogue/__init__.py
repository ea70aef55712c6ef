"""The catalogue that operators publish."""

from hawthornmast.catalogue.service import Entry
from hawthornmast.catalogue.service import Service

__all__ = [
    "Entry",
    "Service",
]
