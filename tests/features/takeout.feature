Feature: taking failure domains and upstreams out of service
  Work that still reaches a domain under maintenance is aborted; a return at full load crashes it.

  Background:
    Given 3 entry instances and 3 upstreams in 3 failure domains, with 4 shards and upstreams with {"latency_ms": 60}
    And queries run through all instances from 5 threads each
    And "u2" is used with all its slots

  Scenario: a failure domain is taken out and comes back
    When failure domain "b" is taken out
    And 5 s have passed since the change
    And 2 s pass
    Then "u2" got no search since then
    When upstream u2 gets {"reset_stats": true}
    And failure domain "b" is brought back
    And 2.5 s have passed since the change
    Then "u2" got at most 1 calls at a time
    And "u2" is used with all its slots
    When the queries stop
    Then every query through "e1,e3" was answered completely

  Scenario: with a slow store, a domain is taken out whose upstream restarts meanwhile
    When the store takes 700 ms for a call
    And failure domain "b" is taken out
    And 5 s have passed since the change
    And 2 s pass
    And the queries stop
    Then "u2" got no search since then
    And "e2" refused every query since then and named other addresses
    And every query through "e1,e3" was answered completely
    When upstream u2 gets {"reset_stats": true, "cold_ms": 9000, "cold_factor": 8, "fall_over": true}
    And 1 s pass
    And failure domain "b" is brought back
    And queries run through all instances from 5 threads each
    Then "u2" is used with all its slots
    And "u2" fell over 1 times

  Scenario: an upstream leaves
    When upstream u2 gets {"is_leaving": true}
    And 7 s pass
    And the queries stop
    Then "u2" got its last call at most 5000 ms after it began to leave
    And every query through "e1,e2,e3" was answered completely

  Scenario: an upstream is taken out
    When upstream "u2" is taken out
    And 5 s have passed since the change
    And 2 s pass
    And the queries stop
    Then "u2" got no search since then
    And every query through "e1,e2,e3" was answered completely
