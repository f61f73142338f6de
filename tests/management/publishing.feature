Feature: Errors while an operator publishes objects

  Background:
    Given a platform with the sample set in force

  Scenario: All errors of a file are reported at once
    Given a file with three errors
    When the operator runs check
    Then the exit code is 1
    And the text names "ranks[0].share"
    And the text names "routes[2].group"
    And the text names "database_groups[0].slots[1].port"

  Scenario: An invalid set is not sent
    Given a file with three errors
    When the operator runs publish
    Then the exit code is 1
    And the text names "routes[2].group"
    And revision 1 is in force

  Scenario: The second of two concurrent publications fails and shows the difference
    Given a file with another connection limit
    And another operator publishes at the same moment
    When the operator runs publish
    Then the exit code is 4
    And the text names "database_groups[bookings-1].connection_limit"
    And revision 2 is in force

  Scenario: A set based on a replaced revision is rejected
    Given a file with another connection limit
    And another operator has published
    When the operator runs publish based on revision 1
    Then the exit code is 4
    And revision 2 is in force

  Scenario: A lost answer is resolved by reading the stored set
    Given a file with another connection limit
    And the platform loses its answer
    When the operator runs publish
    Then the exit code is 0
    And the text names "published as revision 2"
    And revision 2 is in force

  Scenario: The platform is down
    Given a file with another connection limit
    And no platform answers
    When the operator runs publish
    Then the exit code is 3
    And the text names "nothing was published"

  Scenario Outline: The platform fails while it writes
    Given a file with another connection limit
    And the platform answers with <status> after the write
    When the operator runs publish
    Then the exit code is 3
    And the text names "the set may be in force"
    And revision 2 is in force

    Examples:
      | status |
      | 503    |
      | -1     |
