"""Distribution of configurations that operators publish as one document."""

from pomelobank_node.published._feed import PublishedFeed
from pomelobank_node.published._source import (
    Document,
    PublishedSource,
    SourceError,
)
from pomelobank_node.published._store import (
    Decoder,
    PublishedConfig,
    PublishedStore,
)

__all__ = [
    "Decoder",
    "Document",
    "PublishedConfig",
    "PublishedFeed",
    "PublishedSource",
    "PublishedStore",
    "SourceError",
]
