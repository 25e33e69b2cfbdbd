Feature: Leaving and stopping cut nothing

  Scenario: An endpoint that reports that it leaves gets no new work after 3 seconds
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When "club" sends 10 requests to each instance
    And engine 0 reports that it is leaving
    And 3 seconds pass
    And the engines count their requests
    And "club" sends 20 requests to each instance
    Then engine 0 has got no new request

  Scenario: An endpoint that the live list shows as leaving gets no new work after 3 seconds
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When the live list shows endpoint "rulebook-1" as leaving
    And 3 seconds pass
    And the engines count their requests
    And "club" sends 20 requests to each instance
    Then engine 1 has got no new request

  Scenario: A stopped instance finishes its streams and ends by itself
    Given a bureau fleet of 6 instances
    And a key "club" of "federation"
    When "club" streams 600 tokens from "mtl-1"
    And "club" streams 600 tokens from "mtl-1"
    And the instance "mtl-1" is told to stop
    Then all streams are whole
    And the instance "mtl-1" ends by itself

  Scenario: All instances are replaced one after the other and no stream is cut
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When a new instance "mtl-2" starts in "mtl"
    And "club" streams 100 tokens from "mtl-1"
    And the instance "mtl-1" is told to stop
    And a new instance "sag-2" starts in "sag"
    And "club" streams 100 tokens from "sag-1"
    And the instance "sag-1" is told to stop
    And a new instance "gas-2" starts in "gas"
    And "club" streams 100 tokens from "gas-1"
    And the instance "gas-1" is told to stop
    Then all streams are whole
    And the instance "mtl-1" ends by itself
    And the instance "sag-1" ends by itself
    And the instance "gas-1" ends by itself

  Scenario: A rolling replacement under load cuts no request and refuses none
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When "club" sends a steady load
    And every instance is replaced in turn
    Then no request of the load was cut or refused

  Scenario: The account of one region is refused nothing while the holder of its tokens is replaced
    Given a bureau fleet of 3 instances
    And contracts 20 times as large
    And a key "bound" of "youth"
    When "bound" sends a steady load
    And every instance is replaced in turn
    Then no request of the load was cut or refused

  Scenario: The shards of an instance that is killed while it leaves are taken over
    Given a bureau fleet of 6 instances
    When the store is hanging
    And the instance "gas-1" is told to stop
    And 1 seconds pass
    And the instance "gas-1" is killed
    And the store is up
    Then every shard gets a holder that runs
