Feature: No account gets more than its rate and burst

  Scenario: A flood through all instances stays inside the contract and gets most of it
    Given a bureau fleet of 6 instances
    And a key "club" of "club-north"
    When "club" floods all instances for 10 seconds with requests of 20 tokens
    Then it has consumed at most 300 tokens a second and a burst of 1500
    And it has consumed at least 200 tokens a second

  Scenario: A holder that is paused and wakes grants nothing twice
    Given a bureau fleet of 6 instances
    And a key "club" of "club-north"
    When the holder of "club-north" in "sag" is paused for 6 seconds during the flood
    And "club" floods all instances for 10 seconds with requests of 20 tokens
    Then it has consumed at most 300 tokens a second and a burst of 1500

  Scenario: A caller that leaves before its answer is charged for the tokens that may have run
    Given a bureau fleet of 3 instances
    And a key "bound" of "youth"
    And "youth" has at least 1400 tokens left in "mtl"
    When "bound" asks "mtl-1" for 400 tokens and leaves, 3 times
    Then "youth" has at most 800 tokens left in "mtl"

  Scenario: A holder that loses all contact stops to grant and goes on when it has contact again
    Given a bureau fleet of 6 instances
    And a key "club" of "federation"
    When all but the holder of "federation" in "gas" stop answering
    Then within 15 seconds the holder refuses "club" as "unavailable"
    And the holder refuses "club" as "unavailable" for 5 seconds
    When they answer again
    Then within 20 seconds the holder serves "club"

  Scenario: The last instance of a region goes on to grant without any contact
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When all but the holder of "federation" in "gas" stop answering
    Then the holder serves "club" for 12 seconds
