"""Conversion of statements and answers to and from the messages between peers."""

from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    TargetFault,
    TargetReply,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.schema.gateway import LentStatement, LogPlace, RunReply, StatementKind

__all__ = [
    "decode_position",
    "decode_reply",
    "decode_statement",
    "encode_position",
    "encode_reply",
    "encode_statement",
]


def encode_position(position: LogPosition | None) -> LogPlace | None:
    """Convert a log position to its message."""
    return None if position is None else LogPlace(term=position.term, index=position.index)


def decode_position(message: LogPlace | None) -> LogPosition | None:
    """Convert a message to a log position."""
    return None if message is None else LogPosition(message.term, message.index)


def encode_statement(statement: Statement) -> LentStatement:
    """Convert a statement to its message.

    Raises
    ------
    MalformedMessage
        Databases do not run statements of this kind.
    """
    match statement:
        case Begin(read_only):
            return LentStatement(kind=StatementKind.BEGIN, flag=read_only)
        case Commit():
            return LentStatement(kind=StatementKind.COMMIT)
        case Rollback():
            return LentStatement(kind=StatementKind.ROLLBACK)
        case Read(item):
            return LentStatement(kind=StatementKind.READ, name=item)
        case Write(item, data):
            return LentStatement(kind=StatementKind.WRITE, name=item, text=data)
        case SetValue(name, value):
            return LentStatement(kind=StatementKind.SET, name=name, text=value)
        case Prepare(name, writes, shape):
            return LentStatement(kind=StatementKind.PREPARE, name=name, text=shape, flag=writes)
        case Execute(name, arguments):
            return LentStatement(kind=StatementKind.EXECUTE, name=name, text=arguments)
        case _:
            raise MalformedMessage(
                f"databases do not run statements of type {type(statement).__name__}"
            )


def decode_statement(message: LentStatement) -> Statement:
    """Convert a message to a statement.

    Raises
    ------
    MalformedMessage
        The kind of the statement is unknown.
    """
    match message.kind:
        case StatementKind.BEGIN:
            return Begin(message.flag)
        case StatementKind.COMMIT:
            return Commit()
        case StatementKind.ROLLBACK:
            return Rollback()
        case StatementKind.READ:
            return Read(message.name)
        case StatementKind.WRITE:
            return Write(message.name, message.text)
        case StatementKind.SET:
            return SetValue(message.name, message.text)
        case StatementKind.PREPARE:
            return Prepare(message.name, message.flag, message.text)
        case StatementKind.EXECUTE:
            return Execute(message.name, message.text)
        case _:
            raise MalformedMessage(f"unknown statement kind: {message.kind}")


def encode_reply(reply: TargetReply) -> RunReply:
    """Convert a database's answer to its message."""
    return RunReply(
        state=reply.state.value,
        rows=list(reply.rows),
        signature=reply.signature,
        fault=reply.fault.value if reply.fault is not None else "",
        detail=reply.detail,
        position=encode_position(reply.position),
    )


def decode_reply(message: RunReply) -> TargetReply:
    """Convert a message to a database's answer."""
    return TargetReply(
        state=SessionState(message.state),
        rows=tuple(message.rows),
        signature=message.signature,
        fault=TargetFault(message.fault) if message.fault else None,
        detail=message.detail,
        position=decode_position(message.position),
    )
