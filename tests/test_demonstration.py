"""Guards against a demonstration that accepts an inconsistent answer or a wrong order outcome."""

import pytest

from citronpaddle.client import OrderAnswer
from citronpaddle.demonstration import find_inconsistency, find_order_error
from citronpaddle.errors import ErrorKind, Failure
from citronpaddle.models import KEY_SPACE_SIZE, Coverage, KeyRange, QueryAnswer

HALF = KEY_SPACE_SIZE // 2
GAP = (KeyRange(0, HALF),)
ROW = {"key": str(HALF), "score": 0.5, "text": "s1of2@2 oak"}


def make_answer(coverage, rows=(ROW,)):
    return QueryAnswer("r", "lot-search", 2, coverage, tuple(rows), False, 1.0, 1)


def test_a_consistent_partial_answer_is_accepted():
    assert find_inconsistency(make_answer(Coverage(0.5, GAP, ("deadline_past",)))) == ""


@pytest.mark.parametrize(
    "coverage, row",
    [
        (Coverage(0.75, GAP, ("deadline_past",)), ROW),
        (Coverage(0.5, GAP, ()), ROW),
        (Coverage(0.5, GAP, ("deadline_past",)), ROW | {"text": "s1of2@1 oak"}),
        (Coverage(0.5, GAP, ("deadline_past",)), ROW | {"key": "7"}),
        (Coverage(1.0, (), ()), ROW),
    ],
)
def test_an_inconsistent_answer_is_reported(coverage, row):
    assert find_inconsistency(make_answer(coverage, [row]))


ANSWER = OrderAnswer("r", {"order_number": "u-1"}, False)
REPLAY = ANSWER._replace(replayed=True)
REFUSED = Failure(ErrorKind.NOT_READY, "no orders yet")


@pytest.mark.parametrize(
    "outcomes, executions, is_expected",
    [
        ((ANSWER, REPLAY), 1, True),
        ((REFUSED, REFUSED), 0, False),
        ((ANSWER, REFUSED), 1, False),
        ((ANSWER, REPLAY), 0, False),
        ((ANSWER, REPLAY), 2, False),
        ((ANSWER, ANSWER), 1, False),
        ((ANSWER, REPLAY._replace(answer={})), 1, False),
    ],
)
def test_an_order_that_ran_twice_or_has_a_wrong_answer_is_reported(
    outcomes, executions, is_expected
):
    assert (find_order_error(outcomes, executions) == "") is is_expected
