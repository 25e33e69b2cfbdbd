Feature: Engines load what the operators want

  Scenario: A new version is loaded everywhere under load and nobody is refused
    Given a bureau fleet of 3 instances whose engines take 4000 ms to load
    And a key "club" of "federation"
    When "club" sends a steady load
    And an operator sets version "v2" with adapters "polish,grit"
    Then within 60 seconds all engines have loaded version "v2" with adapters "polish,grit"
    And at most one engine of a region was away at the same time
    And the weight store has refused nothing
    And no request of the load was cut or refused

  Scenario Outline: A giver that is paused and wakes gives no order under its old lease
    Given a bureau fleet of 6 instances whose engines <check> fencing numbers
    And a weight store that serves 600 loads a minute
    When an operator sets version "v2" with adapters ""
    Then within 60 seconds all engines have loaded version "v2" with adapters ""
    When the giver of orders in "mtl" is paused
    And an operator sets version "v3" with adapters ""
    Then within 90 seconds all engines have loaded version "v3" with adapters ""
    When the paused giver wakes
    And an operator sets version "v4" with adapters ""
    Then within 90 seconds all engines have loaded version "v4" with adapters ""
    And no engine has taken an order with an old fencing number

    Examples:
      | check  |
      | check  |
      | ignore |

  Scenario: The store loses the answers while an instance takes the right to give orders
    Given a bureau fleet of 3 instances
    When the store loses the answers to the next 2 writes
    And an operator sets version "v2" with adapters ""
    Then within 90 seconds all engines have loaded version "v2" with adapters ""
    And the weight store has refused nothing

  Scenario: With the store out nobody gives orders and the wish is carried out afterwards
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When an operator sets version "v2" with adapters ""
    And the store is out
    And 18 seconds pass
    And the orders are counted
    And 4 seconds pass
    Then no engine has got another order
    When the store is up
    Then within 60 seconds all engines have loaded version "v2" with adapters ""
