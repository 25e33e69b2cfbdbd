package org.filbertrudder.standins.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.filbertrudder.model.Json;

/**
 * Simulates a replica that a request with a certain path crashes: its port is closed before its
 * connections are reset, as when a process ends.
 */
public final class CrashingReplicaStandIn implements AutoCloseable {

    /** The path of the requests that crash the replica. */
    public static final String CRASHING_PATH = "/book/crash";

    private static final long DOWN_MS = 1_000;
    private static final int SLOTS = 8;

    private final KvStoreStandIn mStore;
    private final String mId;
    private final String mService;
    private final String mZone;
    private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mCrashes = new AtomicInteger();
    private final AtomicInteger mRunning = new AtomicInteger();
    private volatile long mProcessingTimeMs = 20;
    private volatile boolean mClosed;
    private volatile ServerSocket mServer;
    private int mPort;

    /** Creates a replica that registers in the store once it is started. */
    public CrashingReplicaStandIn(KvStoreStandIn store, String id, String service, String zone) {
        mStore = store;
        mId = id;
        mService = service;
        mZone = zone;
    }

    /** Starts to listen on a port and registers the replica as ready. */
    public CrashingReplicaStandIn start(int port) {
        mPort = port;
        listen();
        return this;
    }

    /** Returns how often the replica crashed. */
    public int crashes() {
        return mCrashes.get();
    }

    /** Returns the number of requests that run and do not crash the replica. */
    public int running() {
        return mRunning.get();
    }

    /** Sets how long requests that arrive from now on run. */
    public void setProcessingTimeMs(long processingTimeMs) {
        mProcessingTimeMs = processingTimeMs;
    }

    private void listen() {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), mPort));
            mServer = server;
            startThread(() -> accept(server));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mStore.put(
                "servers/" + mId,
                Json.MAPPER
                        .createObjectNode()
                        .put("born", System.currentTimeMillis())
                        .put("service", mService)
                        .put("addr", "127.0.0.1:" + mPort)
                        .put("zone", mZone)
                        .put("version", "v1")
                        .put("slots", SLOTS)
                        .put("state", "ready")
                        .put("warmupMs", 0)
                        .put("seq", 1)
                        .toString());
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "crashing-replica");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server) {
        try {
            while (true) {
                Socket connection = server.accept();
                mConnections.add(connection);
                startThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // The replica has crashed or is closed.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader input =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = input.readLine(); line != null; line = input.readLine()) {
                answer(connection, line.split(" ")[1], readRequest(input));
            }
        } catch (IOException | InterruptedException e) {
            // The connection has been closed.
        } finally {
            mConnections.remove(connection);
        }
    }

    /** Reads the rest of a request and returns its headers. */
    private static Map<String, String> readRequest(BufferedReader input) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = input.readLine();
                line != null && !line.isEmpty();
                line = input.readLine()) {
            String[] parts = line.split(":", 2);
            headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1].trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        for (int read = 0; read < length; read++) {
            input.read();
        }
        return headers;
    }

    private void answer(Socket connection, String path, Map<String, String> headers)
            throws IOException, InterruptedException {
        String id = headers.get("filbertrudder-attempt-id");
        String response = "Filbertrudder-Instance-Id: " + mId;
        if (id != null) {
            if (path.equals(CRASHING_PATH)) {
                crash();
                return;
            }
            mRunning.incrementAndGet();
            TimeUnit.MILLISECONDS.sleep(mProcessingTimeMs);
            mRunning.decrementAndGet();
            response = "Filbertrudder-Attempt-Id: " + id + "\r\nFilbertrudder-Server-Stamp: s";
        }
        String head = "HTTP/1.1 200 OK\r\n" + response + "\r\nContent-Length: 0\r\n\r\n";
        connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    private synchronized void crash() throws IOException {
        if (mServer.isClosed()) {
            return;
        }
        mCrashes.incrementAndGet();
        mServer.close();
        mRunning.set(0);
        mConnections.forEach(CrashingReplicaStandIn::reset);
        startThread(
                () -> {
                    try {
                        TimeUnit.MILLISECONDS.sleep(DOWN_MS);
                        restart();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    private synchronized void restart() {
        if (!mClosed) {
            listen();
        }
    }

    private static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (SocketException e) {
            // It is closed already.
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        mClosed = true;
        mServer.close();
        mConnections.forEach(CrashingReplicaStandIn::reset);
    }
}
