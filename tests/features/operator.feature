Feature: operator's tool
  The output of the tool alone must show what was changed and what was not.

  Background:
    Given a store with the configuration of the example file

  Scenario: a dry run shows the difference and changes nothing
    When the operator runs "apply FILE --dry-run" with "priority: 1" in place of "priority: 5"
    Then the exit code is 0
    And the output has "service lot-search: priority: 5 -> 1"
    And the store has revision 1

  Scenario: of two concurrent changes, the refused one is reported as such
    When "anna" runs "preset use peak" and "ben" runs "domain out a" at the same time
    Then one of them ends with exit code 0 and the other with 5
    And the loser is told the author and the change id of the winner
    And the store has revision 2

  Scenario: a change is reported as accepted although the reply was lost
    Given the store loses the reply of the next write after it took effect
    When the operator runs "domain out a"
    Then the exit code is 0
    And the output has "accepted: revision 2: take domain a out of service"
    And the store has revision 2

  Scenario: a store that cannot be read leaves the outcome of a sent write unknown
    Given the store cuts all connections once a write has arrived
    When the operator runs "domain out a" and waits for its end
    Then the exit code is 6
    And the output has "may or may not have been made"

  Scenario: a store that is down changes nothing
    Given the store answers every call with an error
    When the operator runs "status"
    Then the exit code is 4

  Scenario Outline: a bad document must be refused with its line and what was expected
    When the operator runs "apply FILE" with "<good>" in place of "<bad>"
    Then the exit code is 3
    And the output has "line <line>: <message>"
    And the store has revision 1

    Examples:
      | bad               | good            | line | message                                           |
      | hedging: true     | hedgin: true    | 9    | services.lot-search.hedgin: unknown key; expected |
      | priority: 5       | priority: 50    | 6    | services.lot-search.priority: input should be     |
      | 127.0.0.1:8080    | lot.example:80  | 2    | upstreams.lot-1.address: expected an IP address   |
      | group: g          | priority: 4     | 8    | key priority is already given on line 6           |
      | failure_domain: a | failure_domain: | 2    | upstreams.lot-1.failure_domain: expected text     |

  Scenario Outline: a name that does not exist must be refused with the names that do
    When the operator runs "<command>"
    Then the exit code is 3
    And the output has "<message>"

    Examples:
      | command          | message                             |
      | preset use peek  | there is no preset peek; known:     |
      | domain out z     | there is no failure domain z; known |
      | upstream in lot9 | there is no upstream lot9; known:   |

  Scenario: the history shows who changed what
    When the operator runs "--author anna domain out a"
    And the operator runs "--author ben domain in a"
    And the operator runs "history"
    Then the output has "revision 3 by ben"
    And the output has "revision 2 by anna"
    And the output has "out_domains: none -> a"

  Scenario: a restored store must not revert accepted changes
    Given an instance that has revision 2 with domain "a" out in force
    And the store was restored to the state of revision 1
    When the operator runs "--instances INSTANCE preset use peak"
    Then the exit code is 1
    And the output has "the store was restored to an older state"
    When the operator runs "--instances INSTANCE store restore --yes"
    Then the exit code is 0
    And the output has "accepted: revision 3: restore the store"
    When the operator runs "status"
    Then the output has "out domains    a"
