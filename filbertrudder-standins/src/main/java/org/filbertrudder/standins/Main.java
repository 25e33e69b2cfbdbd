package org.filbertrudder.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Command line entry point that starts the simulated platform, the endpoints or the load generator.
 */
public final class Main {

    private static final int EXIT_USAGE_ERROR = 2;

    private Main() {}

    /** Executes the command that the arguments select. */
    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(arguments);
            switch (parsed.getString("command")) {
                case "platform" -> runPlatform(parsed);
                case "endpoints" -> runEndpoints(parsed);
                default -> LoadGenerator.run(parsed);
            }
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE_ERROR);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("filbertrudder-standins").build();
        Subparsers commands = parser.addSubparsers().dest("command");
        Subparser platform =
                commands.addParser("platform")
                        .help("simulate the store, live list, caller directory and weight store");
        platform.addArgument("--port").type(Integer.class).setDefault(0);
        platform.addArgument("--live-lag-ms").type(Long.class).setDefault(1_000L);
        Subparser endpoints =
                commands.addParser("endpoints").help("simulate engines and plain services");
        endpoints.addArgument("--engines").type(Integer.class).setDefault(1);
        endpoints.addArgument("--services").type(Integer.class).setDefault(0);
        endpoints.addArgument("--slots").type(Integer.class).setDefault(8);
        endpoints.addArgument("--tokens-per-second").type(Double.class).setDefault(100.0);
        endpoints.addArgument("--report-lag-ms").type(Long.class).setDefault(500L);
        endpoints.addArgument("--prefill-ms").type(Long.class).setDefault(0L);
        endpoints.addArgument("--cached-prompts").type(Integer.class).setDefault(64);
        endpoints.addArgument("--event-lag-ms").type(Long.class).setDefault(1_000L);
        endpoints.addArgument("--event-gap").type(Integer.class).setDefault(7);
        endpoints.addArgument("--load-ms").type(Long.class).setDefault(500L);
        endpoints.addArgument("--model-version").setDefault("v1");
        endpoints.addArgument("--fencing").type(Boolean.class).setDefault(true);
        endpoints.addArgument("--weights-port").type(Integer.class).setDefault(0);
        LoadGenerator.addCommandTo(commands);
        return parser;
    }

    private static void runPlatform(Namespace arguments) throws Exception {
        Vertx vertx = Vertx.vertx();
        PlatformStandIn platform = new PlatformStandIn(vertx, arguments.getLong("live_lag_ms"));
        int port =
                platform.listen(arguments.getInt("port"))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get();
        System.out.println("listening platform=" + port);
    }

    private static void runEndpoints(Namespace arguments) throws Exception {
        Vertx vertx = Vertx.vertx();
        StreamTruncation streamTruncation = new StreamTruncation();
        List<String> engines = new ArrayList<>();
        for (int i = 0; i < arguments.getInt("engines"); i++) {
            EngineStandIn engine =
                    new EngineStandIn(vertx, engineOptions(arguments), streamTruncation);
            engines.add(awaitPort(engine.listen(0)));
        }
        List<String> services = new ArrayList<>();
        for (int i = 0; i < arguments.getInt("services"); i++) {
            services.add(awaitPort(new BookingStandIn(vertx).listen(0)));
        }
        System.out.println(
                "listening engines="
                        + String.join(",", engines)
                        + " services="
                        + String.join(",", services));
    }

    private static EngineOptions engineOptions(Namespace arguments) {
        return new EngineOptions(
                arguments.getInt("slots"),
                arguments.getDouble("tokens_per_second"),
                arguments.getLong("report_lag_ms"),
                arguments.getLong("prefill_ms"),
                arguments.getInt("cached_prompts"),
                arguments.getLong("event_lag_ms"),
                arguments.getInt("event_gap"),
                arguments.getLong("load_ms"),
                arguments.getString("model_version"),
                arguments.getBoolean("fencing"),
                arguments.getInt("weights_port"));
    }

    private static String awaitPort(Future<Integer> listening) throws Exception {
        return listening.toCompletionStage().toCompletableFuture().get().toString();
    }
}
