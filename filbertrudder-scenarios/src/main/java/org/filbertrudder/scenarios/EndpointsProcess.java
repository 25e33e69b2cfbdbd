package org.filbertrudder.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/** Controls the stand-ins for engines and plain services. */
public final class EndpointsProcess {

    private final ManagedProcess mProcess;
    private final HttpCaller mHttp;

    EndpointsProcess(ManagedProcess process, HttpCaller http) {
        mProcess = process;
        mHttp = http;
    }

    /** Returns the ports of the engines, in order. */
    public List<Integer> enginePorts() {
        return mProcess.ports("engines");
    }

    /** Returns the ports of the plain services, in order. */
    public List<Integer> servicePorts() {
        return mProcess.ports("services");
    }

    /** Returns the port of an engine. */
    public int enginePort(int number) {
        return enginePorts().get(number);
    }

    /** Returns the tokens that all engines together have written. */
    public long tokensWritten() {
        return engineStats().stream().mapToLong(stats -> stats.path("tokens").asLong()).sum();
    }

    /** Returns how often a booking has run at all endpoints together. */
    public int runsOf(String slot) {
        int runs = 0;
        for (int port : servicePorts()) {
            Reply reply = mHttp.send("GET", port, "/standin/runs", Map.of(), null);
            runs += reply.json().path(slot).asInt();
        }
        return runs;
    }

    /** Stops all booking endpoints for a time in milliseconds. */
    public void bookingsDown(int forMs) {
        String body = "{\"forMs\":" + forMs + "}";
        servicePorts().forEach(port -> mHttp.send("POST", port, "/standin/down", Map.of(), body));
    }

    /** Changes how all booking endpoints behave. */
    public void bookingBehaviour(String json) {
        servicePorts()
                .forEach(port -> mHttp.send("POST", port, "/standin/behaviour", Map.of(), json));
    }

    /** Returns what the engines have counted, one entry for each; waits for those that restart. */
    public List<JsonNode> engineStats() {
        return enginePorts().stream().map(this::engineStats).toList();
    }

    private JsonNode engineStats(int port) {
        Reply[] reply = new Reply[1];
        Fleet.await(
                "engine at port " + port,
                10_000,
                () -> {
                    reply[0] = mHttp.send("GET", port, "/standin/stats", Map.of(), null);
                    return reply[0].status() == 200;
                });
        return reply[0].json();
    }

    /** Breaks the next stream of any engine after a number of bytes. */
    public void breakNextStream(int afterBytes) {
        engine(0, "POST", "/standin/break", "{\"afterBytes\":" + afterBytes + "}");
    }

    /** Sends a request to an engine itself. */
    public Reply engine(int number, String method, String path, String body) {
        return mHttp.send(method, enginePorts().get(number), path, Map.of(), body);
    }

    void kill() {
        mProcess.kill();
    }
}
