package org.filbertrudder.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import org.filbertrudder.entry.log.LogSetup;

/** Lists and runs the experiments: {@code measure [NAME] [--seed N]}. */
public final class Measure {

    private static final int USAGE = 2;
    private static final Map<String, Experiment> EXPERIMENTS = new TreeMap<>();

    static {
        EXPERIMENTS.put("capacity-configuration", new ConfigurationCapacity());
        EXPERIMENTS.put("capacity-membership", new MembershipCapacity());
        EXPERIMENTS.put("capacity-tokens", new TokenCapacity());
        EXPERIMENTS.put("capacity-messages", new MessageCapacity());
        EXPERIMENTS.put("capacity-control", new ControlCapacity());
        EXPERIMENTS.put("capacity-start", new StartCapacity());
        EXPERIMENTS.put("capacity-fleet", new FleetCapacity());
        EXPERIMENTS.put("capacity-gateway", new GatewayCapacity());
        EXPERIMENTS.put("capacity-streams", new StreamCapacity());
        EXPERIMENTS.put("capacity-outage", new OutageCapacity());
        EXPERIMENTS.put("fairness", new FairnessExperiment());
        EXPERIMENTS.put("fairness-processes", new ProcessFairness());
        EXPERIMENTS.put("retries-processes", new ProcessRetries());
        EXPERIMENTS.put("routing", new RoutingExperiment());
        EXPERIMENTS.put("capacity-routing", new RoutingCapacity());
    }

    private Measure() {}

    /** Runs the experiment that the arguments name, or lists all of them. */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        LogSetup.apply(Level.WARNING, LogSetup.Format.TEXT);
        List<String> words = List.of(arguments);
        if (words.isEmpty()) {
            EXPERIMENTS.keySet().forEach(System.out::println);
            return;
        }
        Experiment experiment = EXPERIMENTS.get(words.get(0));
        if (experiment == null) {
            System.err.println("There is no such experiment. Use one of " + EXPERIMENTS.keySet());
            System.exit(USAGE);
        }
        int option = words.indexOf("--seed");
        long seed = option < 0 ? 1 : Long.parseLong(words.get(option + 1));
        Table table = experiment.run(seed);
        System.out.println(table.toMarkdown());
        write(words.get(0) + "-" + seed, table);
        System.exit(0);
    }

    private static void write(String name, Table table) {
        try {
            Path directory =
                    Path.of(System.getProperty("filbertrudder.root", "."), "build", "measure");
            Files.createDirectories(directory);
            Files.writeString(directory.resolve(name + ".csv"), table.toCsv());
            for (String column : Plot.plottable(table)) {
                Files.writeString(
                        directory.resolve(name + "-" + column + ".svg"),
                        Plot.draw(name, table, column));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
