package org.filbertrudder.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** Controls the process that runs the stand-in for the platform. */
public final class PlatformStandInProcess {

    private final ManagedProcess mProcess;
    private final LoopbackHttpClient mHttp;

    PlatformStandInProcess(ManagedProcess process, LoopbackHttpClient http) {
        mProcess = process;
        mHttp = http;
    }

    /** Returns the host and port of the store, the live list and the caller directory. */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the TCP port of the platform. */
    public int port() {
        return mProcess.port("platform");
    }

    /** Adds an instance or endpoint to the platform's live list, or updates its entry. */
    public void putLiveListEntry(String id, String state, String address) {
        String body =
                String.format(
                        "{\"id\":\"%s\",\"state\":\"%s\",\"address\":\"%s\"}", id, state, address);
        mHttp.send("PUT", port(), "/standin/live/" + id, Map.of(), body);
    }

    /** Removes an instance or endpoint from the platform's live list. */
    public void removeLiveListEntry(String id) {
        mHttp.send("DELETE", port(), "/standin/live/" + id, Map.of(), null);
    }

    /** Sets the faults of the store, given as JSON. */
    public void setStoreFaults(String json) {
        mHttp.send("POST", port(), "/standin/faults", Map.of(), json);
    }

    /** Saves a snapshot of the store for a later restore. */
    public void saveStoreState() {
        mHttp.send("POST", port(), "/standin/save", Map.of(), "{}");
    }

    /** Restores the store from the saved snapshot, as from a backup. */
    public void restoreStoreState() {
        mHttp.send("POST", port(), "/standin/restore", Map.of(), "{}");
    }

    /** Returns the request statistics of the weight store. */
    public JsonNode weightStoreStats() {
        return mHttp.send("GET", port(), "/standin/weights", Map.of(), null).json();
    }

    /** Returns the call statistics of the store. */
    public JsonNode storeCallStats() {
        return mHttp.send("GET", port(), "/standin/calls", Map.of(), null).json();
    }

    /** Sends a signal to the process by name, such as STOP or CONT. */
    public void sendSignal(String name) {
        mProcess.sendSignal(name);
    }

    void kill() {
        mProcess.kill();
    }
}
