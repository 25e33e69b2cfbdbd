Feature: Accepted changes are in force everywhere and never revert

  Scenario: A change is in force on all instances
    Given a bureau fleet of 6 instances
    When an operator sets the queue wait to 5000 ms through "gas-1"
    Then the change is in force on all instances within 2 seconds

  Scenario: Of two racing operators one learns of the conflict
    Given a bureau fleet of 6 instances
    When two operators race to set the queue wait to 4000 and 6000 ms
    Then one of them succeeds and the other learns of the conflict

  Scenario: A change whose answer the store loses takes effect once
    Given a bureau fleet of 3 instances
    When the store loses the answers to the next 1 writes
    And an operator sets the queue wait to 5000 ms through "sag-1"
    Then the change is in force on all instances within 5 seconds
    And the history holds the change once

  Scenario: With the store out traffic goes on and no change claims success
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When the store is out
    And an operator sets the queue wait to 5000 ms through "mtl-1"
    Then the change is refused with "store_unavailable"
    And "club" gets whole answers from "gas-1" for 3 seconds

  Scenario: A new instance starts from its peers while the store is out
    Given a bureau fleet of 3 instances
    When the store is out
    And a new instance "mtl-9" starts in "mtl"
    Then the instance "mtl-9" reaches the revision of "mtl-1"

  Scenario: A region that is cut off keeps serving its callers
    Given a bureau fleet of 6 instances
    And a key "club" of "federation"
    When the other regions and the platform stop answering "gas"
    Then "club" gets whole answers from "gas-1" for 12 seconds

  Scenario: The store goes out while shards change hands and every account keeps its holder
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When a new instance "gas-2" starts in "gas"
    And the store is out
    Then "club" gets whole answers from "gas-1" for 10 seconds
    And "club" gets whole answers from "gas-2" for 2 seconds

  Scenario: The store hangs while shards change hands and every account keeps its holder
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When a new instance "gas-2" starts in "gas"
    And the store is hanging
    Then "club" gets whole answers from "gas-1" for 12 seconds
    And "club" gets whole answers from "gas-2" for 2 seconds

  Scenario: A store that goes back to an old state takes no instance back with it
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    And the store's state is saved
    When an operator sets the queue wait to 7000 ms through "mtl-1"
    Then the queue wait is 7000 ms on all instances
    When the store goes back to the saved state
    And a new instance "mtl-9" starts in "mtl"
    And 8 seconds pass
    Then the queue wait is 7000 ms on all instances
    And "club" gets whole answers from "mtl-9" for 1 seconds
    When an operator sets the queue wait to 6000 ms through "sag-1"
    Then the change is refused with "store_behind"
    And the queue wait is 7000 ms on all instances

  Scenario: With a slow store requests are not slower and changes are accepted in the end
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When every call to the store takes 1200 ms
    Then "club" gets whole answers from "gas-1" for 6 seconds, each within 1000 ms
    When an operator sets the queue wait to 7000 ms through "mtl-1"
    Then the queue wait is 7000 ms on all instances
