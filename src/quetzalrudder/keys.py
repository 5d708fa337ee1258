"""Workspace keys: made once, shown once, and held only as digests."""

import hashlib
import hmac
import secrets

__all__ = ["digest_key", "key_matches", "make_key"]

KEY_PREFIX = "qrk_"
KEY_BYTES = 24


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


def key_matches(key: str, digests: list[str]) -> bool:
    """Tell whether a key has one of the digests, comparing each in constant time."""
    digest = digest_key(key)
    matches = [hmac.compare_digest(digest, known) for known in digests]
    return any(matches)
