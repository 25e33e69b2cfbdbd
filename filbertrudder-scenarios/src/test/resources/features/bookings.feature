Feature: Bookings land at most once

  Scenario: Repeats through all instances at once run once and get one answer
    Given a bureau fleet of 6 instances
    And a key "club" of "club-north"
    When "club" books "drum-1" at all instances at once with idempotency key "order-1"
    Then both answers are the same
    And the booking "drum-1" has run 1 time
    And the store holds 1 key under a lease

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

  Scenario: An instance that is killed while a booking runs leaves its outcome unknown
    Given a bureau fleet of 6 instances
    And a key "club" of "club-north"
    And booking endpoints take 4000 ms
    When "club" starts to book "drum-4" at "mtl-1" with idempotency key "order-5"
    And the instance "mtl-1" is killed
    And 9 seconds pass
    And "club" books "drum-4" at "mtl-2" with idempotency key "order-5"
    Then the refusal is "outcome_unknown" and says not run: false
    And the booking "drum-4" has run 1 time

  Scenario: A repeat while the first run goes on does not run and gets the first answer later
    Given a bureau fleet of 6 instances
    And a key "club" of "club-north"
    And booking endpoints take 3000 ms
    When "club" starts to book "drum-5" at "mtl-1" with idempotency key "order-6"
    And "club" books "drum-5" at "gas-1" with idempotency key "order-6"
    Then the refusal is "in_progress" and says not run: false
    When 3 seconds pass
    And "club" books "drum-5" at "gas-1" with idempotency key "order-6"
    Then the booking is accepted
    And the booking "drum-5" has run 1 time

  Scenario: A caller that leaves during its booking does not make it run again
    Given a bureau fleet of 3 instances
    And a key "club" of "club-north"
    And booking endpoints take 2000 ms
    When "club" starts to book "drum-6" at "mtl-1" with idempotency key "order-7" and leaves
    And "club" books "drum-6" at "mtl-1" with idempotency key "order-7"
    Then the booking "drum-6" has run 1 time

  Scenario: An idempotency key is not taken for another booking
    Given a bureau fleet of 3 instances
    And a key "club" of "club-north"
    When "club" books "drum-7" at "mtl-1" with idempotency key "order-8"
    And "club" books "drum-8" at "sag-1" with idempotency key "order-8"
    Then the refusal is "idempotency_key_reused" and says not run: true
    And the booking "drum-8" has run 0 times

  Scenario: A booking that another region refuses as not run can be made later with the same key
    Given a bureau fleet of 3 instances
    And a key "bound" of "youth"
    And booking endpoints are down for 4000 ms
    When "bound" books "drum-9" at "gas-1" with idempotency key "order-9"
    Then the refusal is "unavailable" and says not run: true
    When 6 seconds pass
    And "bound" books "drum-9" at "gas-1" with idempotency key "order-9"
    Then the booking is accepted
    And the booking "drum-9" has run 1 time
