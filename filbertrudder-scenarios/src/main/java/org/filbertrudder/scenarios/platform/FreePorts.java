package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free TCP ports on the loopback address for servers that start later.
 *
 * <p>The ports lie below those that operating systems assign to outgoing connections, so no
 * connection occupies one before its server listens. No port is returned twice, and the processes
 * of a machine begin at different ports.
 */
public final class FreePorts {

    /** The lowest port that is returned. */
    static final int FIRST = 12_000;

    /** The first port above those that are returned. */
    static final int END = 32_000;

    /** A factor without a common divisor with the number of ports spreads consecutive numbers. */
    private static final int SPREAD = 7_919;

    private static int sNext =
            FIRST + (int) (ProcessHandle.current().pid() * SPREAD % (END - FIRST));

    private FreePorts() {}

    /**
     * Returns free ports.
     *
     * @throws IllegalStateException if there are too few
     */
    public static synchronized List<Integer> find(int count) {
        List<Integer> ports = new ArrayList<>();
        for (int tried = 0; ports.size() < count; tried++) {
            if (tried == END - FIRST) {
                throw new IllegalStateException("Only " + ports.size() + " ports are free.");
            }
            if (isFree(sNext)) {
                ports.add(sNext);
            }
            sNext = sNext + 1 == END ? FIRST : sNext + 1;
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
