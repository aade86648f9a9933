Feature: service continues when instances and failure domains are lost
  A loss may affect only the requests in flight at the lost processes; otherwise it is an outage.

  Background:
    Given 9 entry instances and 6 upstreams in 3 failure domains, with 6 shards
    And upstream u1,u2,u3 holds shards 0 to 2 of 6 at versions [1]
    And upstream u4,u5,u6 holds shards 3 to 5 of 6 at versions [1]
    And queries run through all instances from 2 threads each
    And 2 s pass

  Scenario: two instances of different domains are killed, one is frozen
    When "e1,e5" are killed at once
    And "e9" are frozen
    And 8 s pass
    And the queries stop
    Then no query through a surviving instance failed
    And after 5 s every answer through a surviving instance was complete
    And no answer mixes versions, overstates its coverage or has rows of another query
    When the frozen ones resume
    And "e1,e5" start again

  Scenario: a whole failure domain freezes and resumes
    When "e2,e5,e8,u2,u5" are frozen
    And 8 s pass
    And the queries stop
    Then no query through a surviving instance failed
    And after 5 s every answer through a surviving instance was complete
    When the frozen ones resume

  Scenario: a whole failure domain is killed
    When "e1,e4,e7,u1,u4" are killed at once
    And 8 s pass
    And the queries stop
    Then no query through a surviving instance failed
    And after 5 s every answer through a surviving instance was complete
