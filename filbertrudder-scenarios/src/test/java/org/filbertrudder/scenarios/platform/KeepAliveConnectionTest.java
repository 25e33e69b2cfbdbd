package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.scenarios.platform.KeepAliveConnection.End;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how much of a response a caller with an open connection recognizes. */
public class KeepAliveConnectionTest {

    private static final String REQUEST = "GET / HTTP/1.1\r\n\r\n";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

    /** Lists what arrives until the connection ends, and how the exchange ends. */
    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {"", End.CLOSED, 0, "", false},
            {"H", End.CUT, 0, "", false},
            {"HTTP/1.1 503 Service Unavailable\r\n", End.CUT, 503, "", false},
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", End.CUT, 200, "ab", false},
            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", End.WHOLE, 200, "ab", true},
            {"HTTP/1.1 200 OK\r\n\r\nab", End.CUT, 200, "", false},
            {
                "HTTP/1.1 503 X\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
                End.WHOLE,
                503,
                "",
                false
            },
            {CHUNKED + "2\r\nab\r\n", End.CUT, 200, "ab", false},
            {CHUNKED + "a\r\nab", End.CUT, 200, "ab", false},
            {CHUNKED + "2\r\nab\r\n0\r\n", End.CUT, 200, "ab", false},
            {CHUNKED + "2\r\nab\r\n0\r\n\r\n", End.WHOLE, 200, "ab", true},
        };
    }

    @Test(dataProvider = "responses")
    public void responseIsTakenForMoreOrLessThanItIs(
            String response, End end, int status, String body, boolean reusable)
            throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                KeepAliveConnection connection =
                        new KeepAliveConnection(
                                new PeerAddress("127.0.0.1", server.getLocalPort()));
                Socket accepted = server.accept()) {
            accepted.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            accepted.shutdownOutput();

            KeepAliveConnection.Exchange exchange = connection.exchange(REQUEST);

            assertEquals(exchange.end(), end);
            assertEquals(exchange.status(), status);
            assertEquals(exchange.body(), body);
            assertEquals(exchange.reusable(), reusable);
        }
    }
}
