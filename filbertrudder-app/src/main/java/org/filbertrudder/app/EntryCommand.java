package org.filbertrudder.app;

import java.util.Map;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.filbertrudder.entry.EntryInstance;
import org.filbertrudder.entry.log.LogSetup;

/** Runs an entry instance until it has shut down, or checks its settings. */
final class EntryCommand {

    private EntryCommand() {}

    static int run(Namespace arguments, Map<String, String> environment) {
        EntryOptions.Result result = EntryOptions.read(arguments, environment);
        if (!result.problems().isEmpty()) {
            return printProblems(result);
        }
        LogSetup.apply(result.logLevel(), result.logFormat());
        try {
            EntryInstance entry = EntryInstance.start(result.settings()).join();
            System.out.println(
                    "listening callers="
                            + entry.callerPort()
                            + " admin="
                            + entry.adminPort()
                            + " peers="
                            + entry.peerPort());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(entry), "shutdown"));
            entry.stopped().join();
            return ExitCode.OK;
        } catch (CompletionException e) {
            LogSetup.flush();
            System.err.println("The instance cannot start: " + e.getCause().getMessage());
            return ExitCode.FAILED;
        }
    }

    /**
     * Shuts the instance down, then ends the process with exit code 0; otherwise the JVM would
     * report the signal that ended the process as an error code.
     */
    private static void shutDown(EntryInstance entry) {
        entry.shutDown().join();
        LogSetup.flush();
        Runtime.getRuntime().halt(ExitCode.OK);
    }

    static int check(Namespace arguments, Map<String, String> environment) {
        EntryOptions.Result result = EntryOptions.read(arguments, environment);
        if (!result.problems().isEmpty()) {
            return printProblems(result);
        }
        System.out.println("The settings are valid.");
        return ExitCode.OK;
    }

    private static int printProblems(EntryOptions.Result result) {
        result.problems().forEach(System.err::println);
        return ExitCode.USAGE;
    }
}
