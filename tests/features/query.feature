Feature: queries through entry instances
  The complete path: the store, entry instances and upstreams are separate processes.

  Scenario: every entry instance answers completely from one snapshot
    Given 3 entry instances and 3 upstreams in 3 failure domains, with 24 shards
    When each entry instance answers 5 queries
    Then every answer is complete and from version 1

  Scenario: bad input is answered with its kind and a true statement that nothing ran
    Given 1 entry instances and 1 upstreams in 1 failure domains, with 4 shards
    Then these requests are refused as not run
      | method | path                        | body                                   | status | kind               |
      | POST   | /v1/services/designs/query  | {"query": "oak"}                       | 400    | no_deadline        |
      | POST   | /v1/services/designs/query  | {"query": "oak", "deadline_ms": 0}     | 504    | deadline_past      |
      | POST   | /v1/services/designs/query  | {"query": "oak",                       | 400    | bad_request        |
      | POST   | /v1/services/designs/query  | {"quarry": "oak", "deadline_ms": 9}    | 400    | bad_request        |
      | POST   | /v1/services/none/query     | {"query": "oak", "deadline_ms": 500}   | 404    | unknown_service    |
      | GET    | /v1/services/designs/query  |                                        | 405    | method_not_allowed |
      | GET    | /v1/nothing                 |                                        | 404    | not_found          |
      | POST   | /v1/services/designs/orders | {"order": {}, "deadline_ms": 500}      | 400    | key_missing        |
    And a body over the size limit is refused with 413
