package org.filbertrudder.app;

/** Names the exit codes of the program. */
final class ExitCode {

    /** Everything went well. */
    static final int OK = 0;

    /** The command failed. */
    static final int FAILED = 1;

    /** The command line or a setting is wrong. */
    static final int USAGE = 2;

    /** The administration API refused the request. */
    static final int REFUSED = 3;

    private ExitCode() {}
}
