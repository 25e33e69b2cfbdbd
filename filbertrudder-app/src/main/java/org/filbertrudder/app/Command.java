package org.filbertrudder.app;

import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs one command of the program. */
@FunctionalInterface
interface Command {

    /** Runs the command and returns the exit code. */
    int run(Namespace arguments, Map<String, String> environment);
}
