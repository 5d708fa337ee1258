"""Store records and peer messages keep the bytes that released builds write and read.

A fleet runs two builds during a rolling upgrade, and the store outlives every instance. The
bytes below were written by the build of commit a2d247a.
"""

import pytest

from quetzalrudder.gateway.lent_messages import (
    decode_reply,
    decode_statement,
    encode_reply,
    encode_statement,
)
from quetzalrudder.gateway.members import MemberRecord, RosterRecord
from quetzalrudder.gateway.primaries import PrimaryRecord
from quetzalrudder.gateway.records import (
    COORDINATOR_KEY,
    MEMBER_PREFIX,
    PRIMARY_PREFIX,
    ROSTER_PREFIX,
    CoordinatorRecord,
    decode_coordinator,
    decode_member,
    decode_primary,
    decode_roster,
    encode_coordinator,
    encode_member,
    encode_primary,
    encode_roster,
)
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    TargetFault,
    TargetReply,
    Write,
)
from quetzalrudder.gateway.store import Item
from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.schema.common import Ending, ErrorCode, Failure
from quetzalrudder.schema.gateway import (
    EndRequest,
    GroupLeader,
    LentStatement,
    LogPlace,
    PeerReply,
    PeerReport,
    PermissionGrant,
    PositionReply,
    PositionRequest,
    RunReply,
    RunRequest,
    SessionEntry,
    StatementKind,
    TakeOverReply,
    TakeOverRequest,
    TokenReply,
    TokenRequest,
    Wanted,
    WorkspaceTokens,
)

CHANGING_PRIMARY = "08051a0464622d33220464622d3128013009"

RECORDS = [
    (
        "qr/members/edge-1",
        MemberRecord("edge-1", "i-7", {"core": 4, "deals": 2}, {"core": "db-2"}),
        "0a03692d3712080a04636f7265100412090a056465616c7310021a0c0a04636f7265120464622d32",
        encode_member,
        decode_member,
    ),
    (
        "qr/roster/edge-1",
        RosterRecord("edge-1", "i-7", "10.0.0.1:9001", "dc-0", 12, 31, 30),
        "0a03692d37120d31302e302e302e313a39303031220464632d30180c",
        encode_roster,
        decode_roster,
    ),
    (
        "qr/leaders/core",
        PrimaryRecord("core", 5, None, "db-3", "db-1", True, 9, 31),
        CHANGING_PRIMARY,
        encode_primary,
        decode_primary,
    ),
    (
        "qr/leaders/core",
        PrimaryRecord("core", 6, "db-3", None, None, False, 10, 31),
        "0806120464622d33300a",
        encode_primary,
        decode_primary,
    ),
    (
        "qr/duty",
        CoordinatorRecord("edge-1", "i-7", 31),
        "0a06656467652d311203692d37",
        encode_coordinator,
        decode_coordinator,
    ),
]

STATEMENTS = [
    (Begin(True), "08012001"),
    (Begin(False), "0801"),
    (Commit(), "0802"),
    (Rollback(), "0803"),
    (Read("offer 1"), "080412076f666665722031"),
    (Write("offer 1", '{"p": 4}'), "080512076f6666657220311a087b2270223a20347d"),
    (SetValue("zone", "a b"), "080612047a6f6e651a03612062"),
    (Prepare("p1", True, "SHAPE ?"), "0807120270311a075348415045203f2001"),
    (Execute("p1", "1 2"), "0808120270311a03312032"),
]

FAULTS = {
    TargetFault.BUSY: "2a0462757379",
    TargetFault.NOT_PREPARED: "2a0c6e6f74207072657061726564",
    TargetFault.LAGGING: "2a076c616767696e67",
    TargetFault.READ_ONLY: "2a0972656164206f6e6c79",
    TargetFault.MOVED: "2a056d6f766564",
    TargetFault.CONNECTION_LIMIT: "2a10636f6e6e656374696f6e206c696d6974",
    TargetFault.ABORTED: "2a0761626f72746564",
    TargetFault.FAILED: "2a066661696c6564",
    TargetFault.TIMED_OUT: "2a0974696d6564206f7574",
    TargetFault.OTHER: "2a056f74686572",
}

REPLIES = [
    (
        TargetReply(
            state=SessionState.IN_TRANSACTION,
            rows=("a", "b"),
            signature="sig",
            fault=None,
            detail="",
            position=LogPosition(3, 44),
        ),
        "120e696e207472616e73616374696f6e1a01611a016222037369673a040803102c",
    ),
    *(
        (
            TargetReply(
                state=SessionState.FAILED_TRANSACTION,
                rows=(),
                signature="",
                fault=fault,
                detail="d",
                position=None,
            ),
            "12126661696c6564207472616e73616374696f6e" + encoded + "320164",
        )
        for fault, encoded in FAULTS.items()
    ),
]

MESSAGES = [
    (
        PeerReport(
            instance="edge-1",
            incarnation="i-7",
            address="10.0.0.1:9001",
            asks_permission=True,
            catalog_version=8,
        ),
        "0a06656467652d311203692d371a0d31302e302e302e313a3930303120012808",
    ),
    (
        PeerReply(
            instance="edge-2",
            incarnation="i-8",
            grant=PermissionGrant.VOUCHED,
            valid_ms=600,
            leaders=[GroupLeader(group="core", value=bytes.fromhex(CHANGING_PRIMARY), revision=77)],
            catalog=b"{}",
        ),
        "0a06656467652d321203692d38180220d8042a1c0a04636f7265121208051a0464622d33220464622d3128013009184d32027b7d",
    ),
    (TokenRequest(workspace="almaty", gives_back=True), "0a06616c6d6174791001"),
    (TokenReply(keeper=True, admitted=False, wait_ms=40), "08011828"),
    (TakeOverRequest(workspaces=["almaty", "astana"]), "0a06616c6d6174790a06617374616e61"),
    (
        TakeOverReply(tokens=[WorkspaceTokens(workspace="almaty", tokens=2.5)]),
        "0a110a06616c6d617479110000000000000440",
    ),
    (PositionRequest(group="core"), "0a04636f7265"),
    (PositionReply(known=True, term=3, index=44, age_ms=12), "08011003182c200c"),
    (
        RunRequest(
            wanted=Wanted(
                instance="edge-1",
                target="db-1",
                workspace="almaty",
                rank=1,
                priority=2,
                wanted_ms=-30,
                wait_ms=300,
            ),
            request_id="r1",
            statement=LentStatement(kind=StatementKind.EXECUTE, name="p1", text="1 2"),
            timeout_ms=500,
            at_least=LogPlace(term=3, index=44),
            values=[SessionEntry(name="zone", value="a b")],
            prepare=LentStatement(kind=StatementKind.PREPARE, name="p1", text="SHAPE ?", flag=True),
        ),
        "0a280a06656467652d31120464622d311a06616c6d6174792001280230e2ffffffffffffffff0138ac021a027231220b0808120270311a0331203228f40332040803102c3a0b0a047a6f6e65120361206242110807120270311a075348415045203f2001",
    ),
    (
        RunRequest(
            loan=7,
            request_id="r2",
            statement=LentStatement(kind=StatementKind.COMMIT),
            timeout_ms=500,
        ),
        "10071a0272322202080228f403",
    ),
    (
        RunReply(
            state="in transaction",
            rows=["a"],
            signature="sig",
            position=LogPlace(term=3, index=45),
            loan=7,
            use=0.5,
        ),
        "120e696e207472616e73616374696f6e1a016122037369673a040803102d400749000000000000e03f",
    ),
    (RunReply(not_holder=True), "5001"),
    (
        RunReply(
            failure=Failure(
                code=ErrorCode.OVERLOADED,
                message="busy",
                retry_after_ms=40,
                ending=Ending.NOT_RUN,
            )
        ),
        "0a0c080b12046275737918022028",
    ),
    (EndRequest(loan=7), "0807"),
]


def test_the_keys_of_the_store_are_unchanged():
    keys = [MEMBER_PREFIX, ROSTER_PREFIX, PRIMARY_PREFIX, COORDINATOR_KEY]
    assert keys == ["qr/members/", "qr/roster/", "qr/leaders/", "qr/duty"]


@pytest.mark.parametrize(("key", "record", "encoded", "encode", "decode"), RECORDS)
def test_records_keep_their_bytes(key, record, encoded, encode, decode):
    assert encode(record).hex() == encoded
    assert decode(Item(key, bytes.fromhex(encoded), 31, 30)) == record


@pytest.mark.parametrize(("statement", "encoded"), STATEMENTS)
def test_lent_statements_keep_their_bytes(statement, encoded):
    assert bytes(encode_statement(statement)).hex() == encoded
    assert decode_statement(LentStatement.parse(bytes.fromhex(encoded))) == statement


def test_every_fault_has_recorded_bytes():
    assert set(FAULTS) == set(TargetFault)


@pytest.mark.parametrize(("reply", "encoded"), REPLIES)
def test_lent_replies_keep_their_bytes(reply, encoded):
    assert bytes(encode_reply(reply)).hex() == encoded
    assert decode_reply(RunReply.parse(bytes.fromhex(encoded))) == reply


@pytest.mark.parametrize(("message", "encoded"), MESSAGES)
def test_peer_messages_keep_their_bytes(message, encoded):
    assert bytes(message).hex() == encoded
    assert type(message).parse(bytes.fromhex(encoded)) == message
