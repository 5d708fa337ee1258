"""Content tags of the platform's lists, which spare callers the lists that they know."""

import hashlib
from dataclasses import replace
from typing import TypeVar

from quetzalrudder.schema.platform import Groups, Instances

__all__ = ["with_tag"]

TAG_BYTES = 8

AnyList = TypeVar("AnyList", Groups, Instances)


def with_tag(answer: AnyList, known_tag: bytes) -> AnyList:
    """Return a list with the tag of its content, or only the tag if it is the known one."""
    tag = hashlib.blake2b(bytes(answer), digest_size=TAG_BYTES).digest()
    if tag == known_tag:
        return type(answer)(tag=tag, unchanged=True)
    return replace(answer, tag=tag)
