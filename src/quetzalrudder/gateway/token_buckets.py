"""The token buckets of the rates that one instance owns, through changes of the ownership."""

import threading

from quetzalrudder.gateway.quotas import TokenBucket, TokenRate
from quetzalrudder.utils import Clock

__all__ = ["CEDED_S", "HANDOVER_DELAY_S", "TokenBuckets"]

# A new rate owner hands out nothing until the others have seen the change too, unless they
# confirm it. A watch of the store reports it within milliseconds, and is repeated after at
# most 0.3 s.
HANDOVER_DELAY_S = 1.0
# How long an instance does not own a rate that it gave to another instance, whose record it
# may not have read yet.
CEDED_S = 2.0


class TokenBuckets:
    """The token buckets of the rates, or parts of rates, that this instance owns, by name.

    Parameters
    ----------
    clock : Clock
        Source of time; it must advance while the machine is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # When this instance may start to hand out tokens of a workspace.
        self._usable_from: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}
        # Tokens left in the buckets that this instance no longer owns; nobody else has them.
        self._left_tokens: dict[str, float] = {}
        # Until when this instance does not own a workspace's rate again.
        self._ceded_until: dict[str, float] = {}

    def set_owned(self, names: set[str]) -> set[str]:
        """Set what this instance owns now.

        Returns
        -------
        set of str
            That of which it does not hand out tokens yet.
        """
        now = self._clock.monotonic()
        with self._lock:
            for name in [name for name, until in self._ceded_until.items() if until <= now]:
                del self._ceded_until[name]
            owned = names - self._ceded_until.keys()
            for name in self._usable_from.keys() - owned:
                del self._usable_from[name]
                bucket = self._buckets.pop(name, None)
                if bucket is not None:
                    self._left_tokens[name] = bucket.tokens
            for name in owned - self._usable_from.keys():
                self._usable_from[name] = now + HANDOVER_DELAY_S
            return {name for name, usable_from in self._usable_from.items() if usable_from > now}

    def take_over(self, name: str, tokens: float) -> None:
        """Hand out tokens from now on, as no other instance does.

        The bucket has the tokens that others passed on, and those that this instance had left
        when it owned it before.
        """
        now = self._clock.monotonic()
        with self._lock:
            if name in self._usable_from:
                self._usable_from[name] = now
                left = self._left_tokens.pop(name, 0.0)
                self._buckets[name] = TokenBucket(tokens + left, now)

    def cede(self, name: str) -> float | None:
        """Stop handing out tokens of a workspace.

        Returns
        -------
        float or None
            The tokens that are left; None if this instance never owned the rate, or has passed
            them on.
        """
        with self._lock:
            self._ceded_until[name] = self._clock.monotonic() + CEDED_S
            usable_from = self._usable_from.pop(name, None)
            bucket = self._buckets.pop(name, None)
            left = self._left_tokens.pop(name, None)
            if usable_from is None:
                return left
            return bucket.tokens if bucket is not None else 0.0

    def take(self, name: str, rate: TokenRate) -> float | None:
        """Take a token if there is one.

        Returns
        -------
        float or None
            Seconds until the next token, 0 if one was taken; None if this instance does not
            hand out tokens of the workspace.
        """
        now = self._clock.monotonic()
        with self._lock:
            usable_from = self._usable_from.get(name)
            if usable_from is None or now < usable_from:
                return None
            bucket = self._buckets.setdefault(name, TokenBucket(0.0, usable_from))
            return bucket.take(rate, now)

    def refund(self, name: str) -> None:
        """Put back a token that was not used."""
        with self._lock:
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.put_back()
