package org.filbertrudder.app;

import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;

/** A command of the command line. */
@FunctionalInterface
interface Command {

    /** Runs the command and returns an exit code of {@link ExitCode}. */
    int run(Namespace arguments, Map<String, String> environment);
}
