package org.filbertrudder.model.message;

/** Defines the range of peer protocol versions that this release supports. */
public final class ProtocolVersions {

    /** The newest supported version; sent when a connection is opened. */
    public static final int NEWEST_SUPPORTED = 3;

    /** The version from which forwarded requests go on over another connection. */
    public static final int RESUMABLE_FORWARDS = 2;

    /**
     * The version from which what instances tell each other about a forwarded request travels apart
     * from the headers of the caller and of the endpoint.
     */
    public static final int SEPARATE_FORWARD_FIELDS = 3;

    /** The version from which instances exchange records of crashes. */
    public static final int CRASH_RECORDS = 3;

    /** The oldest supported version; connections from older peers are rejected. */
    public static final int OLDEST_SUPPORTED = 1;

    private ProtocolVersions() {}
}
