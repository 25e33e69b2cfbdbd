package org.filbertrudder.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** Controls the stand-in for the platform. */
public final class PlatformProcess {

    private final ManagedProcess mProcess;
    private final HttpCaller mHttp;

    PlatformProcess(ManagedProcess process, HttpCaller http) {
        mProcess = process;
        mHttp = http;
    }

    /** Returns the address of the store, the live list and the caller directory. */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the TCP port of the platform. */
    public int port() {
        return mProcess.port("platform");
    }

    /** Shows an instance or endpoint on the platform's live list. */
    public void setLive(String id, String state, String address) {
        String body =
                String.format(
                        "{\"id\":\"%s\",\"state\":\"%s\",\"address\":\"%s\"}", id, state, address);
        mHttp.send("PUT", port(), "/standin/live/" + id, Map.of(), body);
    }

    /** Removes an instance or endpoint from the platform's live list. */
    public void removeLive(String id) {
        mHttp.send("DELETE", port(), "/standin/live/" + id, Map.of(), null);
    }

    /** Makes the store misbehave. */
    public void storeFaults(String json) {
        mHttp.send("POST", port(), "/standin/faults", Map.of(), json);
    }

    /** Keeps the store's present state for a later return to it. */
    public void saveStore() {
        mHttp.send("POST", port(), "/standin/save", Map.of(), "{}");
    }

    /** Lets the store go back to the saved state, as after a restored backup. */
    public void restoreStore() {
        mHttp.send("POST", port(), "/standin/restore", Map.of(), "{}");
    }

    /** Returns what the weight store has counted. */
    public JsonNode weightStore() {
        return mHttp.send("GET", port(), "/standin/weights", Map.of(), null).json();
    }

    /** Returns the calls that the store has counted. */
    public JsonNode storeCalls() {
        return mHttp.send("GET", port(), "/standin/calls", Map.of(), null).json();
    }

    /** Sends a signal by name, such as STOP or CONT. */
    public void signal(String name) {
        mProcess.signal(name);
    }

    void kill() {
        mProcess.kill();
    }
}
