"""Check of the values that the generated message classes have decoded."""

from typing import Any

__all__ = ["check_types"]

TYPE_BY_NAME = {"string": str, "bytes": bytes, "bool": bool, "double": float}


def check_types(message: Any) -> None:
    """Raise ``TypeError`` if a field holds a value of another type.

    The codec of the generated classes accepts some values whose wire type does not fit
    the field, for example a list in place of a number.
    """
    for name, meta in message._betterproto.meta_by_field_name.items():
        field_value = getattr(message, name)
        values = field_value if meta.repeated else [field_value]
        for value in values:
            if value is None and meta.optional:
                continue
            if meta.proto_type == "message" and (value is not None or meta.repeated):
                check_types(value)
            elif not isinstance(value, TYPE_BY_NAME.get(meta.proto_type, int)):
                raise TypeError(name)
