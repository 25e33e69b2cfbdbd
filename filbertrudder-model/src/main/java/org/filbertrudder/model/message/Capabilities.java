package org.filbertrudder.model.message;

/** Names the versions of the peer protocol that this release speaks. */
public final class Capabilities {

    /** The newest version of the peer protocol. */
    public static final int VERSION = 1;

    /** The oldest version of the peer protocol that is still understood. */
    public static final int OLDEST_VERSION = 1;

    private Capabilities() {}
}
