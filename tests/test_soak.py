"""Planned work and faults of the store on real processes break no promise, at fixed seeds."""

from types import SimpleNamespace

import pytest

from soak.__main__ import PROFILES, run_seed
from soak.checker import Checker
from soak.clients import Request
from soak.fleet import GRACE_S, LIMITED, Run
from tests.test_edge_program import CONFIGURATION, deployment_build  # noqa: F401

# On code that ends statements at the exit of a process, this seed finds them.
SEED = 8
# On code that refuses for good from an outdated view, this seed finds it.
STORE_SEED = 1
# On code that promotes the furthest of the replicas that answer, this seed finds it.
CONFIRMED_SEED = 1
LIMIT = {"name": LIMITED, "apiKeys": ["k3"], "ratePerS": 4, "burst": 4}
CONFIG = {**CONFIGURATION, "tenants": [*CONFIGURATION["tenants"], LIMIT]}
SIGTERM_AT = 100.0
DONE, BUSY = ["DONE signed", "READY I -"], ["ERR BUSY queue", "READY I -"]


def test_planned_work_leaves_no_request_unanswered_and_breaks_no_promise(
    deployment_build,  # noqa: F811
    tmp_path,
):
    findings, counts = run_seed(SEED, PROFILES["short"], tmp_path)
    assert findings == []
    # Requests were made while processes were restarted.
    assert counts["runs"] > 100
    assert counts["starts"] > PROFILES["short"].edges


def test_what_is_added_while_the_store_fails_is_refused_to_nobody_for_good(
    deployment_build,  # noqa: F811
    tmp_path,
):
    findings, counts = run_seed(STORE_SEED, PROFILES["store"], tmp_path)
    assert findings == []
    assert counts["store_faults"] == PROFILES["store"].store_faults
    # Callers asked for what was added where it was not known yet.
    assert counts["not_for_good"] > 0


def test_acknowledged_commits_are_kept_when_primaries_crash_beside_replicas_that_are_behind(
    deployment_build,  # noqa: F811
    tmp_path,
):
    findings, counts = run_seed(CONFIRMED_SEED, PROFILES["confirmed"], tmp_path)
    assert findings == []
    assert counts["promotions"] > 0


def request(lines, *, sent_at=SIGTERM_AT + 1.0, took_s=0.2, database="offers", text="PUT i r"):
    data = ("r",) if text.startswith("PUT ") else ()
    place = ("edge-0", 1, database, "k1")
    return Request("r", *place, text, data, False, sent_at, sent_at + took_s, lines)


def run(ended_at, request_id="r", workspace="almaty"):
    return Run(request_id, "db-1", workspace, "PUT i r", False, ended_at - 0.1, ended_at)


def rules_broken(requests, runs=(), kept=(), configs=((0.0, CONFIG),), store_faults=()):
    primary = SimpleNamespace(primary=True, term=1, log=[(None, "i", data) for data in kept])
    group = SimpleNamespace(databases={"db-1": primary})
    fleet = SimpleNamespace(
        runs=runs,
        platform=SimpleNamespace(group=group),
        faults=[],
        stops={("edge-0", 1): SIGTERM_AT},
        edges=[],
        configs=list(configs),
        store_faults=[(*times, {"edge-0"}) for times in store_faults],
    )
    findings = Checker(fleet, requests).findings
    return [finding.split("\n")[0].split(":")[0] for finding in findings]


LAST_PART_AT = SIGTERM_AT + GRACE_S * 5 / 6
WITHOUT_OFFERS = {**CONFIG, "routes": CONFIG["routes"][1:]}


@pytest.mark.parametrize(
    ("rules", "req", "runs", "kept"),
    [
        ([], request(DONE), [], ["r"]),
        (["acknowledged, but not kept"], request(DONE), [], []),
        (["refused, but kept"], request(BUSY), [], ["r"]),
        (["kept twice"], request(DONE), [], ["r", "r"]),
        (["no answer, not run"], request([], took_s=0.6), [], []),
        ([], request([], took_s=0.4), [], []),
        (["no answer, run by a database"], request([]), [run(LAST_PART_AT - 0.1)], []),
        ([], request([]), [run(LAST_PART_AT + 0.1)], []),
        (
            ["no answer, run by a database"],
            request([], sent_at=SIGTERM_AT + GRACE_S * 0.6),
            [run(LAST_PART_AT + 0.1)],
            [],
        ),
    ],
)
def test_checker_finds_lost_answers_and_broken_promises(rules, req, runs, kept):
    assert rules_broken([req], runs, kept) == rules


@pytest.mark.parametrize("age_s", [2.0, 4.0])
def test_checker_finds_requests_that_are_handled_as_by_an_older_configuration(age_s):
    read = request(DONE, text="FETCH i")
    refused = request(["ERR NODB no route", "READY I -"], text="FETCH i")
    is_old = age_s > 3.0
    removed = [(0.0, CONFIG), (read.sent_at - age_s, WITHOUT_OFFERS)]
    added = [(0.0, WITHOUT_OFFERS), (read.sent_at - age_s, CONFIG)]
    accepted_rule = ["accepted as by an older configuration"] if is_old else []
    refused_rule = ["refused as by an older configuration"] if is_old else []
    assert rules_broken([read], configs=removed) == accepted_rule
    assert rules_broken([refused], configs=added) == refused_rule
    # Another refusal says nothing of the route.
    assert rules_broken([request(BUSY, text="FETCH i")], configs=removed) == []


@pytest.mark.parametrize("line", ["ERR NODB no route", "ERR NOAUTH the key is unknown"])
@pytest.mark.parametrize(("age_s", "rules"), [(2.0, []), (4.0, ["refused from an outdated view"])])
def test_checker_finds_refusals_for_good_while_the_store_fails(line, age_s, rules):
    refused = request([line], text="CONNECT")
    added_at = refused.sent_at - age_s
    added = [(0.0, WITHOUT_OFFERS), (added_at, CONFIG)]
    faults = [(added_at - 0.1, refused.sent_at + 1.0)]
    assert rules_broken([refused], configs=added, store_faults=faults) == rules
    refused.lines = ["ERR BUSY a newer configuration may have it"]
    assert rules_broken([refused], configs=added, store_faults=faults) == []


@pytest.mark.parametrize(
    ("ended_s_before", "edge", "rules"),
    [
        (-1.0, "edge-0", []),
        (2.9, "edge-0", []),
        (3.1, "edge-0", ["accepted as by an older configuration"]),
        (-1.0, "edge-1", ["accepted as by an older configuration"]),
    ],
)
def test_checker_lets_an_older_configuration_be_served_only_where_the_store_fails(
    ended_s_before, edge, rules
):
    read = request(DONE, text="FETCH i")
    read.edge = edge
    removed = [(0.0, CONFIG), (read.sent_at - 10.0, WITHOUT_OFFERS)]
    faults = [(read.sent_at - 11.0, read.sent_at - ended_s_before)]
    assert rules_broken([read], configs=removed, store_faults=faults) == rules


@pytest.mark.parametrize(("count", "rules"), [(46, []), (47, ["limit"])])
def test_checker_finds_a_workspace_that_exceeds_its_limit(count, rules):
    requests = [request(DONE, text="FETCH i") for _ in range(count)]
    for number, req in enumerate(requests):
        req.request_id = f"r{number}"
    runs = [run(SIGTERM_AT, req.request_id, LIMITED) for req in requests]
    assert rules_broken(requests, runs) == rules
