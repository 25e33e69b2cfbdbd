package org.filbertrudder.peer.forwarding;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Remembers which processes have had a session that is forgotten, so that "not run" is not said of
 * a request that they have sent.
 *
 * @param <P> identifies a process
 */
final class ForgottenSenders<P> {

    private final int mMaxProcesses;
    private final Set<P> mProcesses = new LinkedHashSet<>();
    private boolean mExceeded;

    /** Creates an empty set that holds at most the given number of processes. */
    ForgottenSenders(int maxProcesses) {
        mMaxProcesses = maxProcesses;
    }

    void add(P process) {
        mProcesses.add(process);
        if (mProcesses.size() > mMaxProcesses) {
            mExceeded = true;
            Iterator<P> oldest = mProcesses.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns whether the process may have been added; true for all once some were dropped. */
    boolean mayContain(P process) {
        return mExceeded || mProcesses.contains(process);
    }
}
