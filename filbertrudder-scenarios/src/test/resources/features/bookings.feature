Feature: Bookings are executed at most once

  Scenario: Concurrent requests with one idempotency key are executed once and get the same response
    Given a bureau fleet of 6 instances
    And an API key "club" of account "club-north"
    When "club" books "drum-1" through all instances at once with idempotency key "order-1"
    Then both responses are identical
    And the booking "drum-1" was executed 1 time
    And the store holds 1 leased key

  Scenario: A booking whose connection drops is never retried and is reported as having an unknown outcome
    Given a bureau fleet of 3 instances
    And an API key "club" of account "club-north"
    And booking endpoints drop the connection after execution
    When "club" books "drum-2" through "mtl-1" with idempotency key "order-2"
    Then the request is rejected with "outcome_unknown" and not_run is false
    Given booking endpoints respond normally again
    When "club" books "drum-2" through "sag-1" with idempotency key "order-2"
    Then the request is rejected with "outcome_unknown" and not_run is false
    And the booking "drum-2" was executed 1 time

  Scenario: A booking without an idempotency key is not retried after its connection drops
    Given a bureau fleet of 3 instances
    And an API key "club" of account "club-north"
    And booking endpoints drop the connection after execution
    When "club" books "drum-3" through "mtl-1" without an idempotency key
    Then the request is rejected with "outcome_unknown" and not_run is false
    And the booking "drum-3" was executed 1 time

  Scenario: While the store is unavailable, a booking whose idempotency key cannot be claimed is not executed
    Given a utrecht fleet of 3 instances
    And an API key "temple" of account "club-north"
    When the store mode is set to out
    And "temple" books "slot-1" through "midden-1" with idempotency key "order-3"
    Then the request is rejected with "unavailable" and not_run is true
    And the booking "slot-1" was executed 0 times
    When the store mode is set to up
    And "temple" books "slot-1" through "noord-1" with idempotency key "order-3"
    Then the booking is created
    And the booking "slot-1" was executed 1 time

  Scenario: A booking is executed once although the store drops the response to its claim
    Given a utrecht fleet of 3 instances
    And an API key "temple" of account "club-north"
    When the store drops the responses to the next 1 writes
    And "temple" books "slot-2" through "noord-1" with idempotency key "order-4"
    Then the booking is created
    And the booking "slot-2" was executed 1 time

  Scenario: Killing an instance during a booking leaves the outcome unknown
    Given a bureau fleet of 6 instances
    And an API key "club" of account "club-north"
    And booking endpoints respond after 4000 ms
    When "club" starts booking "drum-4" through "mtl-1" with idempotency key "order-5"
    And the instance "mtl-1" is killed
    And 9 seconds pass
    And "club" books "drum-4" through "mtl-2" with idempotency key "order-5"
    Then the request is rejected with "outcome_unknown" and not_run is false
    And the booking "drum-4" was executed 1 time

  Scenario: A repeated booking is not executed while the first is in progress and later gets its response
    Given a bureau fleet of 6 instances
    And an API key "club" of account "club-north"
    And booking endpoints respond after 3000 ms
    When "club" starts booking "drum-5" through "mtl-1" with idempotency key "order-6"
    And "club" books "drum-5" through "gas-1" with idempotency key "order-6"
    Then the request is rejected with "in_progress" and not_run is false
    When 3 seconds pass
    And "club" books "drum-5" through "gas-1" with idempotency key "order-6"
    Then the booking is created
    And the booking "drum-5" was executed 1 time

  Scenario: A booking whose caller disconnects is not executed again on a repeat
    Given a bureau fleet of 3 instances
    And an API key "club" of account "club-north"
    And booking endpoints respond after 2000 ms
    When "club" books "drum-6" through "mtl-1" with idempotency key "order-7" and disconnects
    And "club" books "drum-6" through "mtl-1" with idempotency key "order-7"
    Then the booking "drum-6" was executed 1 time

  Scenario: An idempotency key cannot be reused for another booking
    Given a bureau fleet of 3 instances
    And an API key "club" of account "club-north"
    When "club" books "drum-7" through "mtl-1" with idempotency key "order-8"
    And "club" books "drum-8" through "sag-1" with idempotency key "order-8"
    Then the request is rejected with "idempotency_key_reused" and not_run is true
    And the booking "drum-8" was executed 0 times

  Scenario: A booking that another region rejected as not executed can be repeated with the same key
    Given a bureau fleet of 3 instances
    And an API key "bound" of account "youth"
    And booking endpoints are unavailable for 4000 ms
    When "bound" books "drum-9" through "gas-1" with idempotency key "order-9"
    Then the request is rejected with "unavailable" and not_run is true
    When 6 seconds pass
    And "bound" books "drum-9" through "gas-1" with idempotency key "order-9"
    Then the booking is created
    And the booking "drum-9" was executed 1 time
