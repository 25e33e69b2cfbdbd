package org.filbertrudder.model.message;

/** Defines the range of peer protocol versions that this release supports. */
public final class Capabilities {

    /** The newest supported version; sent when a connection is opened. */
    public static final int VERSION = 1;

    /** The oldest supported version; connections from older peers are rejected. */
    public static final int OLDEST_VERSION = 1;

    private Capabilities() {}
}
