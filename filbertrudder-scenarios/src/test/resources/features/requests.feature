Feature: Requests stay in their permitted regions and are authenticated

  Scenario: A request is served only in the region where its data must stay
    Given a bureau fleet of 6 instances
    And an API key "bound" of account "youth"
    When "bound" sends "gas-1" a request for 4 tokens
    Then the response is complete
    And only engines in region "mtl" have executed requests
    And no endpoint has received an API key

  Scenario: A withdrawn API key is rejected by all instances, also in a running stream
    Given a bureau fleet of 6 instances
    And an API key "old" of account "museum"
    And an API key "bound" of account "youth"
    When "old" starts a stream of 600 tokens through "sag-1"
    And the API key "old" is withdrawn through "mtl-1"
    Then within 5 seconds every instance rejects the API key "old"
    And the stream ends with the error "key_withdrawn"

  Scenario: A withdrawn API key ends a stream that is served by another region
    Given a bureau fleet of 6 instances
    And an API key "bound" of account "youth"
    When "bound" starts a stream of 600 tokens through "gas-1"
    And the API key "bound" is withdrawn through "mtl-1"
    Then within 5 seconds every instance rejects the API key "bound"
    And the stream ends with the error "key_withdrawn"

  Scenario: A stream is resumed on another engine when its engine crashes
    Given a bureau fleet of 3 instances
    And an API key "club" of account "federation"
    When "club" starts a stream of 120 tokens through "mtl-1"
    And an engine that serves a stream crashes
    Then all streams complete without errors
    And the stream has the same content as a stream without a crash

  Scenario: A request that crashes engines crashes at most two of them
    Given a utrecht fleet of 3 instances
    And an API key "club" of account "federation"
    When "club" sends an engine-crashing request through every instance, 3 times
    Then at most 2 engines have crashed
    And the request is rejected with "request_crashes" and not_run is false

  Scenario: Requests on the same engines as a crashing request complete and are not rejected
    Given a utrecht fleet of 6 instances
    And an API key "club" of account "federation"
    And an API key "other" of account "museum"
    When "other" starts streams of 60 tokens through each instance, 4 per instance
    And "club" sends an engine-crashing request through every instance, 1 time
    Then all streams complete without errors
    And at most 2 engines have crashed
    And the request is rejected with "request_crashes" and not_run is false

  Scenario: A stream that is served by another region is resumed when its engine crashes
    Given a bureau fleet of 3 instances
    And an API key "bound" of account "youth"
    When "bound" starts a stream of 500 tokens through "gas-1"
    And an engine that serves a stream crashes
    Then all streams complete without errors
    And the stream has the same content as a stream without a crash

  Scenario: A stream whose engine crashes twice ends with one error event
    Given a bureau fleet of 3 instances
    And an API key "bound" of account "youth"
    When "bound" starts a stream of 500 tokens through "gas-1"
    And an engine that serves a stream crashes
    And an engine that serves a stream crashes
    Then the stream ends with the error "request_crashes"

  Scenario: Concurrent copies of a request that crashes engines crash at most one engine per region
    Given a utrecht fleet of 6 instances
    And an API key "club" of account "federation"
    When "club" concurrently sends 6 engine-crashing requests through every instance
    Then at most 3 engines have crashed
    When "club" sends an engine-crashing request through every instance, 1 time
    Then at most 3 engines have crashed
    And the request is rejected with "request_crashes" and not_run is false
