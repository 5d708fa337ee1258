"""Conditional writes of the groups' primaries to the store."""

from dataclasses import replace

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.primaries import PrimaryRecord, PrimaryTable
from quetzalrudder.gateway.records import PRIMARY_PREFIX, decode_primary, encode_primary
from quetzalrudder.gateway.store import Store, WriteConflict

__all__ = ["write_primary"]


def write_primary(
    store: Store, primaries: PrimaryTable, record: PrimaryRecord
) -> Result[None, QuetzalrudderError]:
    """Write a record unless it has changed in the store since it was read.

    The table gets what the store then holds.
    """
    key = PRIMARY_PREFIX + record.group
    result = store.write(key, encode_primary(record), record.revision)
    match result:
        case Ok(revision):
            primaries.observe(replace(record, revision=revision))
        case Err(WriteConflict(current=current)):
            for item in current:
                if item.key == key and item.value is not None:
                    primaries.observe(decode_primary(item))
    return result.map(lambda _: None)
