package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the bound on the bodies that are held at the same time. */
public class HeldBodiesTest {

    @Test
    public void bodiesAreHeldUpToTheBoundAndAgainAfterARelease() {
        HeldBodies bodies = new HeldBodies(100);

        assertTrue(bodies.tryHold(60));
        assertFalse(bodies.tryHold(41));
        assertTrue(bodies.tryHold(40));
        bodies.release(60);
        assertTrue(bodies.tryHold(60));
        assertEquals(bodies.heldBytes(), 100);
    }

    @Test
    public void boundOfTheHeapIsAFractionOfIt() {
        assertFalse(HeldBodies.forHeap().tryHold(Runtime.getRuntime().maxMemory() / 2));
    }
}
