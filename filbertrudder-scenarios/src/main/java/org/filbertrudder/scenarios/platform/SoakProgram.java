package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;

/**
 * Runs seeds of the soak from the command line; see {@code bin/soak-limits} and {@code
 * bin/soak-forwards}.
 */
public final class SoakProgram {

    private SoakProgram() {}

    /**
     * Runs seeds one after another: {@code SOAK FIRST_SEED SEEDS INSTANCES SECONDS DIRECTORY},
     * where the soak is {@code limits} or {@code forwards}.
     */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 6) {
            System.err.println("Arguments: SOAK FIRST_SEED SEEDS INSTANCES SECONDS DIRECTORY");
            System.exit(2);
        }
        long firstSeed = Long.parseLong(arguments[1]);
        Function<LimitSoak.Options, LimitSoak.Report> soak =
                arguments[0].equals("forwards") ? ForwardSoak::run : LimitSoak::run;
        int failed = 0;
        for (long seed = firstSeed; seed < firstSeed + Long.parseLong(arguments[2]); seed++) {
            Path directory = Path.of(arguments[5]).resolve("seed-" + seed);
            Files.createDirectories(directory);
            LimitSoak.Report report =
                    soak.apply(
                            new LimitSoak.Options(
                                    seed,
                                    Integer.parseInt(arguments[3]),
                                    Integer.parseInt(arguments[4]),
                                    directory));
            Files.write(directory.resolve("events.txt"), report.events());
            Files.write(directory.resolve("violations.txt"), report.violations());
            System.out.println(
                    "seed "
                            + seed
                            + " "
                            + report.statuses()
                            + " "
                            + report.stops()
                            + " "
                            + report.violations());
            failed += report.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(failed + " of " + arguments[2] + " seeds failed");
        System.exit(failed == 0 ? 0 : 1);
    }
}
