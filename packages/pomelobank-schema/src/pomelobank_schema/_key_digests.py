"""Form of the digests under which API keys are stored."""

import re

_KEY_DIGEST = re.compile("[0-9a-fA-F]{64}")


def is_key_digest(text: str) -> bool:
    """Returns whether a text has the form of a SHA-256 digest.

    >>> is_key_digest("0" * 64)
    True
    >>> is_key_digest("secret")
    False
    """
    return _KEY_DIGEST.fullmatch(text) is not None
