package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.filbertrudder.peer.forwarding.HeldBytes;
import org.testng.annotations.Test;

/** Tests the bound on the bodies that are held at the same time. */
public class HeldBodiesTest {

    @Test
    public void bodiesAreHeldUpToTheBoundAndAgainAfterARelease() {
        HeldBytes bodies = new HeldBytes(100);

        HeldBytes.Hold first = bodies.newHold();
        HeldBytes.Hold second = bodies.newHold();

        assertTrue(first.tryAdd(60));
        assertFalse(second.tryAdd(41));
        assertTrue(second.tryAdd(40));
        first.release();
        assertTrue(first.tryAdd(60));
        assertEquals(bodies.heldBytes(), 100);
    }

    @Test
    public void boundOfTheHeapIsAFractionOfIt() {
        assertFalse(
                HeldBytes.ofHeapPart(GatewayTrafficVerticle.BODY_HEAP_PARTS)
                        .newHold()
                        .tryAdd(Runtime.getRuntime().maxMemory() / 2));
    }
}
