package org.filbertrudder.app;

import java.util.Map;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.filbertrudder.entry.Entry;
import org.filbertrudder.entry.log.LogSetup;

/** Runs an entry instance until it is told to stop. */
final class EntryCommand {

    private EntryCommand() {}

    static int run(Namespace arguments, Map<String, String> environment) {
        EntryOptions.Result result = EntryOptions.read(arguments, environment);
        if (!result.problems().isEmpty()) {
            return report(result);
        }
        LogSetup.apply(result.logLevel(), result.logFormat());
        try {
            Entry entry = Entry.start(result.settings()).join();
            System.out.println(
                    "listening callers="
                            + entry.callerPort()
                            + " admin="
                            + entry.adminPort()
                            + " peers="
                            + entry.peerPort());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(entry), "shutdown"));
            entry.stopped().join();
            return ExitCode.OK;
        } catch (CompletionException e) {
            System.err.println("The instance could not start: " + e.getCause().getMessage());
            return ExitCode.FAILED;
        }
    }

    /** Finishes all requests, then ends the process as a success although a signal ended it. */
    private static void stop(Entry entry) {
        entry.shutDown().join();
        Runtime.getRuntime().halt(ExitCode.OK);
    }

    static int check(Namespace arguments, Map<String, String> environment) {
        EntryOptions.Result result = EntryOptions.read(arguments, environment);
        if (!result.problems().isEmpty()) {
            return report(result);
        }
        System.out.println("The settings are valid.");
        return ExitCode.OK;
    }

    private static int report(EntryOptions.Result result) {
        result.problems().forEach(System.err::println);
        return ExitCode.USAGE;
    }
}
