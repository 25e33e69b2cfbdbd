package org.filbertrudder.peer.forwarding;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests what is remembered of processes whose session is forgotten. */
public class ForgottenSendersTest {

    @Test
    public void onlyAddedProcessesAreContained() {
        ForgottenSenders<String> forgotten = new ForgottenSenders<>(2);
        forgotten.add("a");
        forgotten.add("a");
        forgotten.add("b");

        assertTrue(forgotten.mayContain("a"));
        assertTrue(forgotten.mayContain("b"));
        assertFalse(forgotten.mayContain("c"));
    }

    /** Guards against "not run" for the request of a process that was dropped. */
    @Test
    public void droppedProcessIsTakenForUnknown() {
        ForgottenSenders<String> forgotten = new ForgottenSenders<>(2);
        forgotten.add("a");
        forgotten.add("b");
        forgotten.add("c");

        assertTrue(forgotten.mayContain("a"));
        assertTrue(forgotten.mayContain("d"));
    }
}
