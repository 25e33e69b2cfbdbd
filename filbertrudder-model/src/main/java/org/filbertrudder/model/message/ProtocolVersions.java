package org.filbertrudder.model.message;

/** Defines the range of peer protocol versions that this release supports. */
public final class ProtocolVersions {

    /** The newest supported version; sent when a connection is opened. */
    public static final int NEWEST_SUPPORTED = 2;

    /** The version from which forwarded requests go on over another connection. */
    public static final int RESUMABLE_FORWARDS = 2;

    /** The oldest supported version; connections from older peers are rejected. */
    public static final int OLDEST_SUPPORTED = 1;

    private ProtocolVersions() {}
}
