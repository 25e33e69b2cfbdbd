package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests that ports stay free until a server listens on them. */
public class FreePortsTest {

    private static final int COUNT = 300;

    /** Guards against starts that failed because an outgoing connection had taken the port. */
    @Test
    public void portsRemainFreeWhileConnectionsAreOpened() throws IOException {
        List<Integer> ports = FreePorts.find(COUNT);
        List<AutoCloseable> open = new ArrayList<>();
        try (ServerSocket target = new ServerSocket(0, COUNT, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < COUNT; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), target.getLocalPort());
                open.add(socket);
                open.add(target.accept());
                assertTrue(socket.getLocalPort() >= FreePorts.END, socket.toString());
            }
            for (int port : ports) {
                open.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
            }
        } finally {
            closeAll(open);
        }
    }

    private static void closeAll(List<AutoCloseable> closeables) {
        for (AutoCloseable closeable : closeables) {
            try {
                closeable.close();
            } catch (Exception e) {
                throw new AssertionError("not closed: " + closeable, e);
            }
        }
    }

    @Test
    public void noPortIsReturnedTwice() {
        Set<Integer> ports = new HashSet<>(FreePorts.find(COUNT));
        ports.addAll(FreePorts.find(COUNT));

        assertEquals(ports.size(), 2 * COUNT);
    }
}
