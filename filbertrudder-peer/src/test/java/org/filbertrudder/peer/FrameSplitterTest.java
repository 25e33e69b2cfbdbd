package org.filbertrudder.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that frames are found however the received bytes are divided. */
public class FrameSplitterTest {

    private static final int SEED = 7;
    private static final int FRAMES = 200;
    private static final int LARGE_FRAME_BYTES = 300_000;

    private static List<byte[]> randomBodies(Random random) {
        List<byte[]> bodies = new ArrayList<>();
        for (int i = 0; i < FRAMES; i++) {
            byte[] body = new byte[i % 50 == 7 ? LARGE_FRAME_BYTES : 1 + random.nextInt(300)];
            random.nextBytes(body);
            bodies.add(body);
        }
        return bodies;
    }

    /** Lists the maximum length of the received buffers, in bytes. */
    @DataProvider
    public Object[][] maximumLengths() {
        return new Object[][] {{1}, {3}, {5}, {100}, {700}, {65_536}, {Integer.MAX_VALUE}};
    }

    @Test(dataProvider = "maximumLengths")
    public void findsFramesInBuffersOfAnyLength(int maximumLength) {
        Random random = new Random(SEED);
        List<byte[]> bodies = randomBodies(random);
        Buffer bytes = Buffer.buffer();
        bodies.forEach(body -> bytes.appendInt(body.length).appendBytes(body));

        FrameSplitter splitter = new FrameSplitter();
        List<byte[]> found = new ArrayList<>();
        int position = 0;
        while (position < bytes.length()) {
            int length = Math.min(bytes.length() - position, maximumLength);
            length = maximumLength == Integer.MAX_VALUE ? length : 1 + random.nextInt(length);
            splitter.add(bytes.getBuffer(position, position + length));
            position += length;
            byte[] body = splitter.next();
            while (body != null) {
                found.add(body);
                body = splitter.next();
            }
        }

        assertEquals(found.size(), bodies.size());
        for (int i = 0; i < bodies.size(); i++) {
            assertEquals(Arrays.hashCode(found.get(i)), Arrays.hashCode(bodies.get(i)));
        }
        assertNull(splitter.next());
    }

    /** Lists lengths that no frame may have. */
    @DataProvider
    public Object[][] invalidLengths() {
        return new Object[][] {
            {0}, {-1}, {MessageCodec.MAX_FRAME_BYTES + 1}, {Integer.MIN_VALUE}, {Integer.MAX_VALUE}
        };
    }

    @Test(dataProvider = "invalidLengths")
    public void rejectsAnInvalidLengthAfterTheFramesBeforeIt(int length) {
        FrameSplitter splitter = new FrameSplitter();
        splitter.add(Buffer.buffer().appendInt(2).appendShort((short) 5).appendInt(length));

        assertEquals(splitter.next(), new byte[] {0, 5});
        assertThrows(MalformedFrameException.class, splitter::next);
    }

    @Test
    public void waitsForAFrameOfTheMaximumLength() {
        FrameSplitter splitter = new FrameSplitter();
        splitter.add(Buffer.buffer().appendInt(MessageCodec.MAX_FRAME_BYTES));
        assertNull(splitter.next());

        splitter.add(Buffer.buffer(new byte[MessageCodec.MAX_FRAME_BYTES - 1]));
        assertNull(splitter.next());

        splitter.add(Buffer.buffer(new byte[1]));
        assertEquals(splitter.next().length, MessageCodec.MAX_FRAME_BYTES);
    }
}
