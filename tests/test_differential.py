"""Without faults, the product answers as a naive direct execution does."""

import random

import pytest

from tests.helpers import grant_key
from tests.naive.direct import DirectSession

WORKSPACE = "steppe/branch-1"
ROUTE = "steppe/offers"
REQUESTS = 120
CREATE = "CREATE TABLE ledger (id INTEGER PRIMARY KEY, plate TEXT, price REAL, note BLOB)"
WRITES = [
    ("INSERT INTO ledger (plate, price, note) VALUES (?, ?, ?)", 3),
    ("UPDATE ledger SET price = price + ? WHERE plate = ?", 2),
    ("DELETE FROM ledger WHERE plate = ? AND price > ?", 2),
]
READS = [
    "SELECT * FROM ledger ORDER BY id",
    "SELECT count(*), sum(price), max(plate) FROM ledger",
    "SELECT plate, count(*) AS n FROM ledger GROUP BY plate ORDER BY plate",
    "SELECT id FROM ledger WHERE note IS NULL ORDER BY id DESC LIMIT 3",
]


def value(rng):
    plates = ["01 KZ", "02 KZ", "\u0410\u043b\u043c\u0430\u0442\u044b", ""]
    kinds = [rng.choice(plates), rng.randint(-5, 2**40), rng.random(), None, rng.randbytes(3)]
    return rng.choice(kinds)


def requests(seed):
    """Reads, writes and repeated writes, with the instance that each goes through."""
    rng = random.Random(seed)
    sent = [("write", CREATE, (), f"{seed}-create")]
    yield sent[0], 0
    for n in range(REQUESTS):
        instance = rng.randrange(3)
        match rng.random():
            case kind if kind < 0.45:
                yield ("read", rng.choice(READS), (), ""), instance
            case kind if kind < 0.55:
                yield rng.choice(sent), instance
            case _:
                sql, count = rng.choice(WRITES)
                params = tuple(value(rng) for _ in range(count))
                sent.append(("write", sql, params, f"{seed}-{n}"))
                yield sent[-1], instance


def through_product(session, request):
    kind, sql, params, request_id = request
    if kind == "read":
        result = session.read(ROUTE, sql, *params)
    else:
        result = session.write(ROUTE, sql, *params, request_id=request_id)
    return result.columns, result.rows, result.changed


def directly(session, request):
    kind, sql, params, request_id = request
    if kind == "read":
        return session.read(sql, *params)
    return session.write(sql, *params, request_id=request_id)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_same_requests_get_the_same_answers(fleet, seed):
    key = grant_key(fleet, WORKSPACE)
    names = list(fleet.instance_addresses)
    direct = DirectSession()
    with fleet.session(names[0], workspace=WORKSPACE, key=key) as session:
        session.write(ROUTE, "DROP TABLE IF EXISTS ledger", request_id=f"{seed}-drop")
    sessions = [fleet.session(name, workspace=WORKSPACE, key=key) for name in names]
    token = b""
    for n, (request, instance) in enumerate(requests(seed)):
        session = sessions[instance]
        session.token = token
        assert through_product(session, request) == directly(direct, request), (seed, n, request)
        token = session.token
    for session in sessions:
        session.close()
