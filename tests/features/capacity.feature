Feature: capacity of upstreams
  Two instances that both act as owner double the load of an upstream, and a cold one crashes.

  Background:
    Given 3 entry instances and 3 upstreams in 1 failure domains, with 4 shards and upstreams with {"connections": 8, "latency_ms": 60, "straggler_probability": 0.05, "straggler_factor": 3}
    And queries run through all instances from 6 threads each, 1 in 3 given up
    And "u1" is used with all its slots
    And upstream u1,u2,u3 gets {"reset_stats": true}

  Scenario: one owner after the other is paused for longer than the lease and the drain time
    When the owner of "u1" is paused for 7 s
    And "u1" gets an owner again
    And the owner of "u1" is paused for 7 s
    And "u1" gets an owner again
    And the owner of "u1" is paused for 7 s
    And "u1" is used with all its slots
    And 2 s pass
    And the queries stop
    Then no upstream got more calls or connections than its limits
    And no answer mixes versions, overstates its coverage or has rows of another query

  Scenario: the owner is killed
    When the owner of "u1" is killed
    And 2 s pass
    And the killed instance starts again
    And "u1" gets an owner again
    And "u1" is used with all its slots
    And 2 s pass
    And the queries stop
    Then no upstream got more calls or connections than its limits
    And no answer mixes versions, overstates its coverage or has rows of another query

  Scenario: an upstream crashes and starts cold
    When upstream u1 gets {"cold_ms": 4000, "cold_factor": 8, "fall_over": true}
    And "u1" is used with all its slots
    And 2 s pass
    And the queries stop
    Then "u1" fell over 1 times
    And no upstream got more calls or connections than its limits

  Scenario: an upstream becomes cold without notice
    When upstream u1 gets {"cold_ms": 4000, "cold_factor": 8, "go_cold": true}
    And 5 s pass
    And "u1" is used with all its slots
    And 2 s pass
    And the queries stop
    Then "u1" fell over at most 1 times
