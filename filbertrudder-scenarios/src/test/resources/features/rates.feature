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
