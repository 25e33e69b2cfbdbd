package org.filbertrudder.scenarios;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.approvaltests.Approvals;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Compares complete responses, with their headers, with approved files. */
public class GoldenSessionTest {

    private Fleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = Fleet.start(Deployment.BUREAU, 3, Path.of("target", "golden-logs"));
        mFleet.awaitShardOwnership();
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    private static String formatSession(String request, Reply... replies) {
        StringBuilder text = new StringBuilder(request).append("\n");
        for (Reply reply : replies) {
            text.append("\nstatus ").append(reply.status()).append('\n');
            Map<String, String> headers = new TreeMap<>(reply.headers());
            headers.forEach((name, value) -> text.append(name + ": " + value + "\n"));
            text.append('\n').append(reply.body()).append('\n');
        }
        return text.toString()
                .replaceAll("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "REQUEST-ID");
    }

    @Test
    public void aStreamedChat() {
        Reply reply =
                mFleet.sendChat("mtl-1", mFleet.apiKeyOf("club-north"), "Which grit?", 4, true)
                        .join();

        Approvals.verify(formatSession("POST /v1/chat/completions, 4 tokens, streamed", reply));
    }

    @Test
    public void aBookingAndItsRepeat() {
        String key = mFleet.apiKeyOf("club-north");
        Reply first = mFleet.sendBooking("mtl-1", key, "drum-9", "order-9").join();
        Reply repeat = mFleet.sendBooking("sag-1", key, "drum-9", "order-9").join();

        Approvals.verify(formatSession("POST /services/bookings/bookings, twice", first, repeat));
    }

    @Test
    public void aRefusal() {
        Reply reply = mFleet.sendChat("mtl-1", "fr.k1.wrong", "Which grit?", 4, false).join();

        Approvals.verify(formatSession("POST /v1/chat/completions with a wrong key", reply));
    }
}
