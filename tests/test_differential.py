"""Compares the answers of the product, without faults, with those of direct execution."""

import random

import pytest

from tests.helpers import grant_key
from tests.naive.direct import DirectSession

WORKSPACE = "steppe/branch-1"
ROUTE = "steppe/offers"
REQUESTS_PER_SEED = 120
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


def random_value(rng):
    plates = ["01 KZ", "02 KZ", "\u0410\u043b\u043c\u0430\u0442\u044b", ""]
    values = [rng.choice(plates), rng.randint(-5, 2**40), rng.random(), None, rng.randbytes(3)]
    return rng.choice(values)


def random_requests(seed):
    """Yield reads, writes and retried writes, each with the index of its instance."""
    rng = random.Random(seed)
    writes = [("write", CREATE, (), f"{seed}-create")]
    yield writes[0], 0
    for n in range(REQUESTS_PER_SEED):
        instance = rng.randrange(3)
        match rng.random():
            case draw if draw < 0.45:
                yield ("read", rng.choice(READS), (), ""), instance
            case draw if draw < 0.55:
                yield rng.choice(writes), instance
            case _:
                sql, count = rng.choice(WRITES)
                params = tuple(random_value(rng) for _ in range(count))
                writes.append(("write", sql, params, f"{seed}-{n}"))
                yield writes[-1], instance


def run_through_product(session, request):
    kind, sql, params, request_id = request
    if kind == "read":
        result = session.read(ROUTE, sql, *params)
    else:
        result = session.write(ROUTE, sql, *params, request_id=request_id)
    return result.columns, result.rows, result.changed


def run_directly(session, request):
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
    for n, (request, instance) in enumerate(random_requests(seed)):
        session = sessions[instance]
        session.token = token
        assert run_through_product(session, request) == run_directly(direct, request), (
            seed,
            n,
            request,
        )
        token = session.token
    for session in sessions:
        session.close()
