package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs seeds of the soak from the command line; see {@code bin/soak-limits}. */
public final class LimitSoakProgram {

    private LimitSoakProgram() {}

    /** Runs seeds one after another: {@code FIRST_SEED SEEDS INSTANCES SECONDS DIRECTORY}. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 5) {
            System.err.println("Arguments: FIRST_SEED SEEDS INSTANCES SECONDS DIRECTORY");
            System.exit(2);
        }
        long firstSeed = Long.parseLong(arguments[0]);
        int failed = 0;
        for (long seed = firstSeed; seed < firstSeed + Long.parseLong(arguments[1]); seed++) {
            Path directory = Path.of(arguments[4]).resolve("seed-" + seed);
            Files.createDirectories(directory);
            LimitSoak.Report report =
                    LimitSoak.run(
                            new LimitSoak.Options(
                                    seed,
                                    Integer.parseInt(arguments[2]),
                                    Integer.parseInt(arguments[3]),
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
        System.out.println(failed + " of " + arguments[1] + " seeds failed");
        System.exit(failed == 0 ? 0 : 1);
    }
}
