Feature: one snapshot and true coverage
  Rows of two versions in one answer, or coverage that is overstated, hide lots from a recall check.

  Background:
    Given 3 entry instances and 4 upstreams in 3 failure domains, with 6 shards
    And upstream u1,u4 holds shards 0 to 5 of 6 at versions [1]
    And upstream u2 holds shards 0 to 2 of 6 at versions [1]
    And upstream u3 holds shards 3 to 5 of 6 at versions [1]
    And queries run through all instances from 4 threads each

  Scenario: versions roll at one upstream after the other
    Given a complete answer of version 1 is seen
    When upstream u1 gets {"versions": [1, 2]}
    And 1 s pass
    And upstream u1 gets {"versions": [2]}
    And upstream u2 gets {"versions": [2]}
    And 1 s pass
    And upstream u3,u4 gets {"versions": [1, 2]}
    And 1 s pass
    And upstream u3,u4 gets {"versions": [2]}
    And 1 s pass
    And upstream u1,u2,u3,u4 gets {"versions": [3]}
    And 2 s pass
    And upstream u1,u2,u3,u4 gets {"versions": [4]}
    And 2 s pass
    And the queries stop
    Then at least 100 answers were complete
    And answers of versions [1, 2, 3, 4] were seen
    And no answer mixes versions, overstates its coverage or has rows of another query

  Scenario: shards are repartitioned at some upstreams, and an upstream is killed
    When upstream u1 holds shards 0 to 7 of 8 at versions [1, 2]
    And 1 s pass
    And upstream u2 holds shards 0 to 4 of 9 at versions [2]
    And upstream u4 holds shards 0 to 11 of 12 at versions [1]
    And 1 s pass
    And upstream u4 holds shards 2 to 8 of 12 at versions [1, 2]
    And 1 s pass
    And upstream u3 holds shards 4 to 7 of 8 at versions [2]
    And upstream u2 holds shards 0 to 3 of 8 at versions [2]
    And 1 s pass
    And upstream u1 holds shards 0 to 2 of 6 at versions [1, 2]
    And 2 s pass
    And "u3" is killed
    And 4 s pass
    And the queries stop
    Then at least 100 answers were complete
    And partial answers were seen
    And no answer mixes versions, overstates its coverage or has rows of another query
