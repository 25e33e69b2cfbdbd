Feature: No account exceeds its rate and burst

  Scenario: An account that overloads all instances gets most of its contract and no more
    Given a bureau fleet of 6 instances
    And an API key "club" of account "club-north"
    When "club" overloads all instances for 10 seconds with requests of 20 tokens
    Then the account has consumed at most 300 tokens per second plus a burst of 1500
    And the account has consumed at least 200 tokens per second

  Scenario: A token holder that resumes after a pause grants no tokens twice
    Given a bureau fleet of 6 instances
    And an API key "club" of account "club-north"
    When the token holder of "club-north" in "sag" is paused for 6 seconds under overload
    And "club" overloads all instances for 10 seconds with requests of 20 tokens
    Then the account has consumed at most 300 tokens per second plus a burst of 1500

  Scenario: A caller that disconnects before the response is charged for the tokens that may have been generated
    Given a bureau fleet of 3 instances
    And an API key "bound" of account "youth"
    And "youth" has at least 1400 tokens left in region "mtl"
    When "bound" sends "mtl-1" a request for 400 tokens and disconnects, 3 times
    Then "youth" has at most 800 tokens left in region "mtl"

  Scenario: A token holder that is isolated stops granting tokens until it is reconnected
    Given a bureau fleet of 6 instances
    And an API key "club" of account "federation"
    When the platform and all instances but the token holder of "federation" in "gas" are paused
    Then within 15 seconds the token holder rejects requests of "club" with "unavailable"
    And the token holder rejects requests of "club" with "unavailable" for 5 seconds
    When the paused processes resume
    Then within 20 seconds the token holder serves requests of "club"

  Scenario: The last instance of a region keeps granting tokens while isolated
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When the platform and all instances but the token holder of "federation" in "gas" are paused
    Then the token holder serves requests of "club" for 12 seconds
