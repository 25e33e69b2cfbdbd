package org.filbertrudder.app;

/** Exit codes of the program. */
final class ExitCode {

    /** The command succeeded. */
    static final int OK = 0;

    /** The command failed. */
    static final int FAILED = 1;

    /** The command line, a setting or a configuration file is not valid. */
    static final int USAGE = 2;

    /** The administration API responded with an error status. */
    static final int ERROR_RESPONSE = 3;

    private ExitCode() {}
}
