Feature: each caller receives the complete answer to its own query
  Answers that are late, swapped or truncated give a recall check the lots of another query.

  Background:
    Given 3 entry instances and 6 upstreams in 3 failure domains, with 6 shards
    And upstream u1,u2,u3 holds shards 0 to 2 of 6 at versions [1]
    And upstream u4,u5,u6 holds shards 3 to 5 of 6 at versions [1]
    And upstream u1,u2,u3,u4,u5,u6 gets {"straggler_probability": 0.1, "straggler_factor": 40}

  Scenario: stragglers and abandoned queries
    When queries run through all instances from 6 threads each, 1 in 5 given up
    And 8 s pass
    And 50 queries have been given up
    And the queries stop
    Then at least 100 answers were complete
    And at least 50 queries were given up
    And no answer mixes versions, overstates its coverage or has rows of another query

  Scenario: open connections of upstreams go silent, and a peer is paused
    When queries run through all instances from 6 threads each, 1 in 5 given up
    And 1 s pass
    And upstream u1,u2 gets {"silence_open": true}
    And 3 s pass
    And "e2" is paused for 2 s
    And upstream u4,u5,u6 gets {"silence_open": true}
    And 4 s pass
    And the queries stop
    Then at least 100 answers were complete
    And no answer mixes versions, overstates its coverage or has rows of another query
