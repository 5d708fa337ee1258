"""Workspace keys: made once, shown once, and held only as digests."""

import hashlib
import hmac
import re
import secrets

__all__ = [
    "DIGEST_PATTERN",
    "KEY_PATTERN",
    "KEY_PREFIX",
    "digest_key",
    "is_known_digest",
    "key_matches",
    "make_key",
]

KEY_PREFIX = "qrk_"
KEY_BYTES = 24
# Matches every made key inside a text; a digit or letter after it does not hide it.
KEY_PATTERN = re.compile(KEY_PREFIX + "[A-Za-z0-9_-]{32}")
DIGEST_PATTERN = re.compile("[0-9a-f]{64}")


def make_key() -> str:
    """Make a new random key.

    Examples
    --------
    >>> make_key().startswith("qrk_")
    True
    """
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key: str) -> str:
    """Digest a key as the settings hold it: SHA-256 in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_known_digest(digest: str, digests: list[str]) -> bool:
    """Tell whether a digest is among others, comparing each in constant time."""
    matches = [hmac.compare_digest(digest.encode(), known.encode()) for known in digests]
    return any(matches)


def key_matches(key: str, digests: list[str]) -> bool:
    """Tell whether a key has one of the digests, comparing each in constant time."""
    return is_known_digest(digest_key(key), digests)
