Feature: Bookings land at most once

  Scenario: Repeats through all instances at once run once and get one answer
    Given a bureau fleet of 6 instances
    And a key "club" of "club-north"
    When "club" books "drum-1" at all instances at once with idempotency key "order-1"
    Then both answers are the same
    And the booking "drum-1" has run 1 time

  Scenario: A broken run is never repeated and says so
    Given a bureau fleet of 3 instances
    And a key "club" of "club-north"
    And booking endpoints break the connection after the run
    When "club" books "drum-2" at "mtl-1" with idempotency key "order-2"
    Then the refusal is "outcome_unknown" and says not run: false
    Given booking endpoints work again
    When "club" books "drum-2" at "sag-1" with idempotency key "order-2"
    Then the refusal is "outcome_unknown" and says not run: false
    And the booking "drum-2" has run 1 time

  Scenario: Without an idempotency key a broken booking is not sent again
    Given a bureau fleet of 3 instances
    And a key "club" of "club-north"
    And booking endpoints break the connection after the run
    When "club" books "drum-3" at "mtl-1" without idempotency key
    Then the refusal is "outcome_unknown" and says not run: false
    And the booking "drum-3" has run 1 time

  Scenario: With the store out a booking that cannot be claimed has truly not run
    Given a utrecht fleet of 3 instances
    And a key "temple" of "club-north"
    When the store is out
    And "temple" books "slot-1" at "midden-1" with idempotency key "order-3"
    Then the refusal is "unavailable" and says not run: true
    And the booking "slot-1" has run 0 times
    When the store is up
    And "temple" books "slot-1" at "noord-1" with idempotency key "order-3"
    Then the booking is accepted
    And the booking "slot-1" has run 1 time

  Scenario: A claim whose answer the store loses is settled and runs once
    Given a utrecht fleet of 3 instances
    And a key "temple" of "club-north"
    When the store loses the answers to the next 1 writes
    And "temple" books "slot-2" at "noord-1" with idempotency key "order-4"
    Then the booking is accepted
    And the booking "slot-2" has run 1 time
