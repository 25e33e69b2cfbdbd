Feature: Accepted changes take effect on all instances and never revert

  Scenario: A change takes effect on all instances
    Given a bureau fleet of 6 instances
    When an operator sets the maximum queue wait to 5000 ms through "gas-1"
    Then the change takes effect on all instances within 2 seconds

  Scenario: One of two concurrent changes fails with a conflict
    Given a bureau fleet of 6 instances
    When two operators concurrently set the maximum queue wait to 4000 and 6000 ms
    Then one change succeeds and the other fails with a conflict

  Scenario: A change is applied once although the store drops the response to its write
    Given a bureau fleet of 3 instances
    When the store drops the responses to the next 1 writes
    And an operator sets the maximum queue wait to 5000 ms through "sag-1"
    Then the change takes effect on all instances within 5 seconds
    And the change history contains the change exactly once

  Scenario: While the store is unavailable, requests are served and changes are rejected
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When the store mode is set to out
    And an operator sets the maximum queue wait to 5000 ms through "mtl-1"
    Then the change is rejected with "store_unavailable"
    And "club" gets complete responses from "gas-1" for 3 seconds

  Scenario: A new instance gets its configuration from its peers while the store is unavailable
    Given a bureau fleet of 3 instances
    When the store mode is set to out
    And a new instance "mtl-9" starts in region "mtl"
    Then the instance "mtl-9" reaches the revision of "mtl-1"

  Scenario: An isolated region keeps serving its callers
    Given a bureau fleet of 6 instances
    And an API key "club" of account "federation"
    When the platform and all instances outside region "gas" are paused
    Then "club" gets complete responses from "gas-1" for 12 seconds

  Scenario: Every account keeps a token holder when the store becomes unavailable during a shard handover
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When a new instance "gas-2" starts in region "gas"
    And the store mode is set to out
    Then "club" gets complete responses from "gas-1" for 10 seconds
    And "club" gets complete responses from "gas-2" for 2 seconds

  Scenario: Every account keeps a token holder when the store hangs during a shard handover
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When a new instance "gas-2" starts in region "gas"
    And the store mode is set to hanging
    Then "club" gets complete responses from "gas-1" for 12 seconds
    And "club" gets complete responses from "gas-2" for 2 seconds

  Scenario: Instances keep the current configuration when the store is restored from an old snapshot
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    And a snapshot of the store is saved
    When an operator sets the maximum queue wait to 7000 ms through "mtl-1"
    Then the maximum queue wait is 7000 ms on all instances
    When the store is restored from the snapshot
    And a new instance "mtl-9" starts in region "mtl"
    And 8 seconds pass
    Then the maximum queue wait is 7000 ms on all instances
    And "club" gets complete responses from "mtl-9" for 1 seconds
    When an operator sets the maximum queue wait to 6000 ms through "sag-1"
    Then the change is rejected with "store_behind"
    And the maximum queue wait is 7000 ms on all instances

  Scenario: A slow store does not slow down requests, and changes are accepted eventually
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When every call to the store takes 1200 ms
    Then "club" gets complete responses from "gas-1" for 6 seconds, each within 1000 ms
    When an operator sets the maximum queue wait to 7000 ms through "mtl-1"
    Then the maximum queue wait is 7000 ms on all instances
