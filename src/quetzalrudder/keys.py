"""Workspace keys: generated once, shown once and stored only as digests."""

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
# Matches every generated key inside a text, also if a letter or digit follows it.
KEY_PATTERN = re.compile(KEY_PREFIX + "[A-Za-z0-9_-]{32}")
DIGEST_PATTERN = re.compile("[0-9a-f]{64}")


def make_key() -> str:
    """Generate a random key.

    Examples
    --------
    >>> make_key().startswith("qrk_")
    True
    """
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key: str) -> str:
    """Return the digest of a key as the settings store it: SHA-256 in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_known_digest(digest: str, known_digests: list[str]) -> bool:
    """Return whether a digest is in a list; each comparison takes constant time."""
    matches = [hmac.compare_digest(digest.encode(), known.encode()) for known in known_digests]
    return any(matches)


def key_matches(key: str, digests: list[str]) -> bool:
    """Return whether a key has one of the digests; each comparison takes constant time."""
    return is_known_digest(digest_key(key), digests)
