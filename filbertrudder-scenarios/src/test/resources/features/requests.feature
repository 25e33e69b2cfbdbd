Feature: Requests stay where they may be and belong to their callers

  Scenario: A request is served only in the region its data must stay in
    Given a bureau fleet of 6 instances
    And a key "bound" of "youth"
    When "bound" asks "gas-1" for 4 tokens
    Then the answer is whole
    And only engines of "mtl" have run requests
    And no endpoint has seen a key

  Scenario: A withdrawn key stops working everywhere, also in a running stream
    Given a bureau fleet of 6 instances
    And a key "old" of "museum"
    And a key "bound" of "youth"
    When "old" streams 600 tokens from "sag-1"
    And the key "old" is withdrawn through "mtl-1"
    Then within 5 seconds every instance refuses "old"
    And the stream ends with "key_withdrawn"

  Scenario: A withdrawn key ends a stream that another region serves
    Given a bureau fleet of 6 instances
    And a key "bound" of "youth"
    When "bound" streams 600 tokens from "gas-1"
    And the key "bound" is withdrawn through "mtl-1"
    Then within 5 seconds every instance refuses "bound"
    And the stream ends with "key_withdrawn"

  Scenario: A stream goes on at another engine when its own crashes
    Given a bureau fleet of 3 instances
    And a key "club" of "federation"
    When "club" streams 120 tokens from "mtl-1"
    And an engine that runs a stream crashes
    Then all streams are whole
    And the stream has the same text as one without a crash

  Scenario: A crashing request costs the fleet at most two endpoints
    Given a utrecht fleet of 3 instances
    And a key "club" of "federation"
    When "club" sends a crashing request through every instance, 3 times
    Then at most 2 engines have crashed
    And the refusal is "request_crashes" and says not run: false

  Scenario: Requests beside a crashing one finish and are not refused
    Given a utrecht fleet of 6 instances
    And a key "club" of "federation"
    And a key "other" of "museum"
    When "other" streams 60 tokens from each instance, 4 at a time
    And "club" sends a crashing request through every instance, 1 time
    Then all streams are whole
    And at most 2 engines have crashed
    And the refusal is "request_crashes" and says not run: false

  Scenario: A stream that another region serves goes on when its engine crashes
    Given a bureau fleet of 3 instances
    And a key "bound" of "youth"
    When "bound" streams 500 tokens from "gas-1"
    And an engine that runs a stream crashes
    Then all streams are whole
    And the stream has the same text as one without a crash

  Scenario: A stream that was there at two crashes ends with one typed event
    Given a bureau fleet of 3 instances
    And a key "bound" of "youth"
    When "bound" streams 500 tokens from "gas-1"
    And an engine that runs a stream crashes
    And an engine that runs a stream crashes
    Then the stream ends with "request_crashes"

  Scenario: Copies of a crashing request sent at the same moment cost at most one endpoint in each region
    Given a utrecht fleet of 6 instances
    And a key "club" of "federation"
    When "club" sends 6 copies of a crashing request through every instance at once
    Then at most 3 engines have crashed
    When "club" sends a crashing request through every instance, 1 time
    Then at most 3 engines have crashed
    And the refusal is "request_crashes" and says not run: false
