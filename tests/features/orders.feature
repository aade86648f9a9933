Feature: orders run at most once
  A feed order or a truss order that runs twice is paid and delivered twice.

  Background:
    Given 3 entry instances and 3 upstreams in 3 failure domains, with 4 shards

  Scenario: a repeated key is answered from the stored outcome, through any instance
    When order "k-1" is sent through "e1"
    And order "k-1" is sent through "e2"
    Then both answers are the same and the second is marked as replayed
    And the upstreams ran "k-1" 1 times

  Scenario: a reused key with another order is refused and does not run
    When order "k-2" is sent through "e1"
    And order "k-2" with another body is sent through "e3"
    Then the last answer is 422 "key_reused" and "not_run"
    And the upstreams ran "k-2" 1 times

  Scenario: an order is refused as not run while the store is down, and runs once it is back
    When the store has an outage
    And order "k-3" is sent through "e1"
    Then the last answer is 503 "store_unavailable" and "not_run"
    When the store is back
    And order "k-3" is sent through "e2" until it runs
    Then the upstreams ran "k-3" 1 times

  Scenario: the entry instance is killed while the order runs
    When the upstreams take 600 ms for a call
    And order "k-4" is sent through "e1", which is killed after 200 ms
    And order "k-4" is sent through "e2"
    Then the last answer is 409 "in_progress" and "unknown"
    And the upstreams ran "k-4" at most 1 times

  Scenario: the owner is frozen while the order runs
    When the upstreams take 400 ms for a call
    And order "k-5" is sent through "e1", all others frozen after 150 ms
    And order "k-5" is sent through "e1"
    Then the upstreams ran "k-5" at most 1 times

  Scenario: the store is restored to a state without a claim that was answered
    Given 3 entry instances and 3 upstreams in 3 failure domains, with 4 shards
    When the revision of the store is noted
    And order "k-6" is sent through "e1"
    And the instances have told each other of it
    And the store is restored to the noted revision
    And order "k-6" is sent through "e2"
    Then the last answer is 503 "store_regressed" and "not_run"
    And the upstreams ran "k-6" 1 times
    When an operator confirms the lost claims
    Then order "k-7" runs through "e3" within 5 s
