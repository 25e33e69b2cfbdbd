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

/** Lists the experiments or runs one of them: {@code measure [NAME] [--seed N]}. */
public final class Measure {

    private static final int EXIT_CODE_INVALID_USAGE = 2;
    private static final Map<String, Experiment> EXPERIMENTS = new TreeMap<>();

    static {
        EXPERIMENTS.put("capacity-configuration", new ConfigurationCapacity());
        EXPERIMENTS.put("capacity-membership", new MembershipCapacity());
        EXPERIMENTS.put("capacity-tokens", new TokenCapacity());
        EXPERIMENTS.put("capacity-messages", new MessageCapacity());
        EXPERIMENTS.put("capacity-control", new ControlPlaneCapacity());
        EXPERIMENTS.put("capacity-start", new MembershipStartCapacity());
        EXPERIMENTS.put("capacity-fleet", new IdleGatewayCapacity());
        EXPERIMENTS.put("capacity-gateway", new GatewayCapacity());
        EXPERIMENTS.put("capacity-streams", new StreamCapacity());
        EXPERIMENTS.put("capacity-outage", new StoreOutageCapacity());
        EXPERIMENTS.put("fairness", new FairnessExperiment());
        EXPERIMENTS.put("fairness-processes", new FleetFairnessExperiment());
        EXPERIMENTS.put("retries-processes", new FleetRetryExperiment());
        EXPERIMENTS.put("forward-gap", new ForwardGap());
        EXPERIMENTS.put("routing", new RoutingExperiment());
        EXPERIMENTS.put("shared-parts", new SharedPartsExperiment());
        EXPERIMENTS.put("capacity-routing", new RoutingCapacity());
    }

    private Measure() {}

    /**
     * Runs the experiment that the first argument names; without arguments, lists all experiments.
     */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        LogSetup.apply(Level.WARNING, LogSetup.Format.TEXT);
        List<String> options = List.of(arguments);
        if (options.isEmpty()) {
            EXPERIMENTS.keySet().forEach(System.out::println);
            return;
        }
        Experiment experiment = EXPERIMENTS.get(options.get(0));
        if (experiment == null) {
            System.err.println("Unknown experiment. The experiments are " + EXPERIMENTS.keySet());
            System.exit(EXIT_CODE_INVALID_USAGE);
        }
        int seedIndex = options.indexOf("--seed");
        long seed = seedIndex < 0 ? 1 : Long.parseLong(options.get(seedIndex + 1));
        Table table = experiment.run(seed);
        System.out.println(table.toMarkdown());
        writeResults(options.get(0) + "-" + seed, table);
        System.exit(0);
    }

    private static void writeResults(String name, Table table) {
        try {
            Path directory =
                    Path.of(System.getProperty("filbertrudder.root", "."), "build", "measure");
            Files.createDirectories(directory);
            Files.writeString(directory.resolve(name + ".csv"), table.toCsv());
            for (String column : BarChart.numericColumns(table)) {
                Files.writeString(
                        directory.resolve(name + "-" + column + ".svg"),
                        BarChart.toSvg(name, table, column));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
