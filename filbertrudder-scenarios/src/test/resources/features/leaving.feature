Feature: Shutdowns interrupt no requests

  Scenario: An endpoint that announces its shutdown gets no new requests after 3 seconds
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When "club" sends 10 requests to each instance
    And engine 0 announces its shutdown
    And 3 seconds pass
    And the request counts of the engines are recorded
    And "club" sends 20 requests to each instance
    Then engine 0 has received no new requests

  Scenario: An endpoint that the live list shows as leaving gets no new requests after 3 seconds
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When the platform's live list shows endpoint "rulebook-1" as leaving
    And 3 seconds pass
    And the request counts of the engines are recorded
    And "club" sends 20 requests to each instance
    Then engine 1 has received no new requests

  Scenario: An instance that shuts down completes its streams before it exits
    Given a bureau fleet of 6 instances
    And an API key "club" of account "federation"
    When "club" starts a stream of 600 tokens through "mtl-1"
    And "club" starts a stream of 600 tokens through "mtl-1"
    And the instance "mtl-1" is asked to shut down
    Then all streams complete without errors
    And the instance "mtl-1" exits with code 0

  Scenario: Replacing all instances one by one interrupts no stream
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When a new instance "mtl-2" starts in region "mtl"
    And "club" starts a stream of 100 tokens through "mtl-1"
    And the instance "mtl-1" is asked to shut down
    And a new instance "sag-2" starts in region "sag"
    And "club" starts a stream of 100 tokens through "sag-1"
    And the instance "sag-1" is asked to shut down
    And a new instance "gas-2" starts in region "gas"
    And "club" starts a stream of 100 tokens through "gas-1"
    And the instance "gas-1" is asked to shut down
    Then all streams complete without errors
    And the instance "mtl-1" exits with code 0
    And the instance "sag-1" exits with code 0
    And the instance "gas-1" exits with code 0

  Scenario: A rolling replacement under load interrupts and rejects no request
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When "club" sends a continuous load
    And the instances are replaced one by one
    Then no request of the load was interrupted or rejected

  Scenario: An account bound to one region is never rejected while its token holder is replaced
    Given a bureau fleet of 3 instances
    And contract limits multiplied by 20
    And an API key "bound" of account "youth"
    When "bound" sends a continuous load
    And the instances are replaced one by one
    Then no request of the load was interrupted or rejected

  Scenario: The shards of an instance that is killed during its shutdown are taken over
    Given a bureau fleet of 6 instances
    When the store mode is set to hanging
    And the instance "gas-1" is asked to shut down
    And 1 seconds pass
    And the instance "gas-1" is killed
    And the store mode is set to up
    Then every shard is owned by a running instance
