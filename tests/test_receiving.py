"""Tests of the limits on what callers make an instance hold."""

from citronpaddle.policy.receiving import (
    BODY_GRACE_MS,
    SHEDDING_TARGET_SHARE,
    UNCOUNTED_BYTES,
    CallerBudget,
    CallerBudgetLimits,
    ConnectionState,
    Phase,
    derive_limits,
    is_body_overdue,
)

LIMITS = CallerBudgetLimits(held_bytes=1_000_000, connections=8)


def make_budget(states):
    budget = CallerBudget(LIMITS)
    for state in states:
        budget.hold(state.key, state.releasable_bytes)
    return budget


def test_an_ordinary_caller_is_given_up_last():
    """Guards against closing usual callers before those that stall or hold more."""
    ordinary_new = ConnectionState("new", Phase.READING, 990.0, 200_000, False)
    ordinary_known = ConnectionState("known", Phase.READING, 0.0, 300_000, True)
    stalled = ConnectionState("stalled", Phase.READING, 0.0, 250_000, False)
    growing = ConnectionState("growing", Phase.READING, 500.0, 350_000, False)
    states = [ordinary_known, ordinary_new, growing, stalled]
    budget = make_budget(states)
    assert budget.exceeds_bytes
    assert budget.select_for_bytes(states, 1_000.0) == ["stalled"]
    states.append(ConnectionState("huge", Phase.READING, 0.0, 900_000, True))
    budget.hold("huge", 900_000)
    # Callers that have completed a request come after all that never did.
    assert budget.select_for_bytes(states, 1_000.0) == ["stalled", "growing", "new", "huge"]


def test_what_can_not_be_released_is_not_selected():
    """Guards against giving up requests in progress, which may have run."""
    states = [
        ConnectionState("busy", Phase.IN_PROGRESS, 0.0, 0, True),
        ConnectionState("small", Phase.READING, 0.0, UNCOUNTED_BYTES, False),
    ]
    budget = make_budget(states)
    budget.hold("busy", 2_000_000)
    assert budget.exceeds_bytes
    assert budget.select_for_bytes(states, 1_000.0) == []
    budget.hold("busy", 0)
    assert budget.held_bytes == 0


def test_relief_leaves_room_below_the_limit():
    """Guards against a selection that is due again at each packet."""
    states = [ConnectionState(n, Phase.READING, 0.0, 54_096, False) for n in range(25)]
    budget = make_budget(states)
    for key in budget.select_for_bytes(states, 1.0):
        budget.hold(key, 0)
    assert 0.8 < budget.held_bytes / LIMITS.held_bytes <= SHEDDING_TARGET_SHARE


def test_connections_are_closed_in_order():
    """Guards against closing connections with a request in progress, or of known callers first."""
    states = [
        ConnectionState("busy", Phase.IN_PROGRESS, 0.0, 0, True),
        ConnectionState("known reading", Phase.READING, 1.0, 0, True),
        ConnectionState("known idle", Phase.IDLE, 2.0, 0, True),
        ConnectionState("never", Phase.IDLE, 3.0, 0, False),
        ConnectionState("never reading", Phase.READING, 4.0, 0, False),
    ]
    budget = CallerBudget(CallerBudgetLimits(1, 5))
    assert budget.select_for_connections(states) == []
    order = []
    for connections in (4, 3, 2, 1):
        budget.limits = CallerBudgetLimits(1, connections)
        order = budget.select_for_connections(states)
    assert order == ["never", "never reading", "known idle", "known reading"]


def test_a_body_without_progress_is_overdue():
    """Guards against a byte a second that keeps a body open for ever."""
    assert not is_body_overdue(BODY_GRACE_MS, 0)
    assert not is_body_overdue(BODY_GRACE_MS + 200_000.0, 200_000)
    assert is_body_overdue(600_000.0, 600)


def test_limits_of_the_smallest_instance():
    """Guards the arithmetic of docs/OPERATIONS.md."""
    assert derive_limits(152, 1_535) == CallerBudgetLimits(38_000_000, 667)
    assert derive_limits(None, None) == CallerBudgetLimits(64_000_000, 412)
