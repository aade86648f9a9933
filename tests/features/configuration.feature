Feature: an accepted configuration is in force everywhere and never reverts
  An instance that misses a removal from service sends work to a domain under maintenance.

  Background:
    Given 9 entry instances and 3 upstreams in 3 failure domains, with 4 shards
    And the revision in force is watched at every instance

  Scenario: changes follow each other, also with the store slow
    When 4 changes are made, each 0.2 s after the other
    Then each change is in force at every instance within 5 s
    When the store takes 700 ms for a call
    And 1 changes are made, each 0 s after the other
    Then each change is in force at every instance within 5 s
    And no instance went back to a lower revision

  Scenario: instances are paused while a change is made
    When a change is made while "e2,e5,e8,e1" are paused, which resume after 6 s
    Then each change is in force at every instance within 5 s
    And no instance went back to a lower revision

  Scenario: instances start while the store is down
    When 1 changes are made, each 1 s after the other
    And the store answers with hang
    And "e1,e6" are replaced by new runs
    Then "e1,e6" have the revision of the others in force
    When the store answers with error
    And "e3" are replaced by new runs
    Then "e3" have the revision of the others in force
    When the store answers with nothing wrong
    And 2 changes are made, each 0.5 s after the other
    Then each change is in force at every instance within 5 s
    And no instance went back to a lower revision

  Scenario: the store is restored to an older state
    When 3 changes are made, each 0.5 s after the other
    Then each change is in force at every instance within 5 s
    When the store is restored to how it was before the last 2 writes
    And 5 s pass
    And "e4" are replaced by new runs
    Then "e4" have the revision of the others in force
    And no instance went back to a lower revision
