Feature: the demonstration
  The first command of a new user: it ends by itself and fails if anything that it shows is wrong.

  Scenario: the demonstration runs to its end and shows each step
    When the demonstration is run as a process
    Then it ends with exit code 0
    And its output has these lines in this order
      | line                                                             |
      | Queries, complete and from one snapshot:                         |
      | Index version 2 is loaded upstream by upstream                   |
      | Upstream lots-1-north crashes                                    |
      | missing: keys 0 to 1431655764                                    |
      | Failure domain south is taken out of service:                    |
      | its upstreams received no call                                   |
      | its upstreams receive calls again                                |
      | first: executed                                                  |
      | second: replayed                                                 |
      | executions at upstreams: 1                                       |
      | No upstream received calls or connections over its limits.       |
      | All as expected.                                                 |
