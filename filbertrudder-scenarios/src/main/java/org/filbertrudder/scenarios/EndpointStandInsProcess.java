package org.filbertrudder.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/** Controls the process that runs the stand-ins for engines and plain services. */
public final class EndpointStandInsProcess {

    private final ManagedProcess mProcess;
    private final LoopbackHttpClient mHttp;

    EndpointStandInsProcess(ManagedProcess process, LoopbackHttpClient http) {
        mProcess = process;
        mHttp = http;
    }

    /** Returns the ports of the engines, in order. */
    public List<Integer> enginePorts() {
        return mProcess.ports("engines");
    }

    /** Returns the ports of the endpoints of the plain service, in order. */
    public List<Integer> servicePorts() {
        return mProcess.ports("services");
    }

    /** Returns the port of an engine. */
    public int enginePort(int number) {
        return enginePorts().get(number);
    }

    /** Returns the total number of tokens that all engines have generated. */
    public long generatedTokens() {
        return engineStats().stream().mapToLong(stats -> stats.path("tokens").asLong()).sum();
    }

    /** Returns how many times the endpoints have executed a booking in total. */
    public int bookingExecutions(String slot) {
        int executions = 0;
        for (int port : servicePorts()) {
            Reply reply = mHttp.send("GET", port, "/standin/runs", Map.of(), null);
            executions += reply.json().path(slot).asInt();
        }
        return executions;
    }

    /** Makes all booking endpoints unavailable for a duration in milliseconds. */
    public void stopBookingEndpoints(int durationMs) {
        String body = "{\"forMs\":" + durationMs + "}";
        servicePorts().forEach(port -> mHttp.send("POST", port, "/standin/down", Map.of(), body));
    }

    /** Sets delays and faults of all booking endpoints, given as JSON. */
    public void setBookingBehaviour(String json) {
        servicePorts()
                .forEach(port -> mHttp.send("POST", port, "/standin/behaviour", Map.of(), json));
    }

    /** Returns the statistics of each engine, in order; waits for engines that are restarting. */
    public List<JsonNode> engineStats() {
        return enginePorts().stream().map(this::engineStats).toList();
    }

    private JsonNode engineStats(int port) {
        Reply[] reply = new Reply[1];
        Fleet.await(
                "a response from the engine at port " + port,
                10_000,
                () -> {
                    reply[0] = mHttp.send("GET", port, "/standin/stats", Map.of(), null);
                    return reply[0].status() == 200;
                });
        return reply[0].json();
    }

    /** Closes the connection of the next stream that any engine serves, after a number of bytes. */
    public void truncateNextStream(int afterBytes) {
        callEngine(0, "POST", "/standin/break", "{\"afterBytes\":" + afterBytes + "}");
    }

    /** Sends a request directly to an engine, bypassing the gateway. */
    public Reply callEngine(int number, String method, String path, String body) {
        return mHttp.send(method, enginePorts().get(number), path, Map.of(), body);
    }

    void kill() {
        mProcess.kill();
    }
}
