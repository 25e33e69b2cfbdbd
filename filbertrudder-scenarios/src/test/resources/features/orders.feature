Feature: Engines load the model version and adapters that the operators configure

  Scenario: A new version is loaded on all engines under load without rejecting requests
    Given a bureau fleet of 3 instances whose engines take 4000 ms to load weights
    And an API key "club" of account "federation"
    When "club" sends a continuous load
    And an operator sets the model version to "v2" with adapters "polish,grit"
    Then within 60 seconds all engines have loaded version "v2" with adapters "polish,grit"
    And at most one engine per region was out of service at a time
    And the weight store has rejected no loads
    And no request of the load was interrupted or rejected

  Scenario Outline: An instance that resumes after a pause issues no orders under its expired lease
    Given a bureau fleet of 6 instances whose engines <check> fencing tokens
    And a weight store limit of 600 loads per minute
    When an operator sets the model version to "v2" with adapters ""
    Then within 60 seconds all engines have loaded version "v2" with adapters ""
    When the instance that issues orders in region "mtl" is paused
    And an operator sets the model version to "v3" with adapters ""
    Then within 90 seconds all engines have loaded version "v3" with adapters ""
    When the paused instance resumes
    And an operator sets the model version to "v4" with adapters ""
    Then within 90 seconds all engines have loaded version "v4" with adapters ""
    And no engine has received an order with an outdated fencing token

    Examples:
      | check  |
      | check  |
      | ignore |

  Scenario: Engines are updated although the store drops the responses to the lease for issuing orders
    Given a bureau fleet of 3 instances
    When the store drops the responses to the next 2 writes
    And an operator sets the model version to "v2" with adapters ""
    Then within 90 seconds all engines have loaded version "v2" with adapters ""
    And the weight store has rejected no loads

  Scenario: While the store is unavailable, no orders are issued; the update completes afterwards
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When an operator sets the model version to "v2" with adapters ""
    And the store mode is set to out
    And 18 seconds pass
    And the number of orders is recorded
    And 4 seconds pass
    Then no engine has received further orders
    When the store mode is set to up
    Then within 60 seconds all engines have loaded version "v2" with adapters ""
