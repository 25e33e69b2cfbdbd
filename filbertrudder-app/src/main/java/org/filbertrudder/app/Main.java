package org.filbertrudder.app;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Entry point of the program. */
public final class Main {

    private static final String VERSION = "0.1.0";
    private static final String LOG_MANAGER = "org.filbertrudder.app.NonResettingLogManager";
    private static final String VERSION_FLAG = "--version";
    private static final String GATEWAY_COMMAND = "gateway";

    private Main() {}

    /** Runs the command that the arguments name, and exits with its exit code. */
    public static void main(String[] arguments) {
        if (arguments.length == 1 && arguments[0].equals(GATEWAY_COMMAND)) {
            // First of all, as SIGHUP ends the process until then; SettingsReloader takes over.
            Signal.handle(new Signal("HUP"), SignalHandler.SIG_IGN);
        }
        // Set by name, as LogManager is initialised before any subclass of it.
        System.setProperty("java.util.logging.manager", LOG_MANAGER);
        int code = run(arguments, System.getenv());
        if (code != ExitCode.OK) {
            System.exit(code);
        }
    }

    static int run(String[] arguments, Map<String, String> environment) {
        if (List.of(arguments).equals(List.of(VERSION_FLAG))) {
            // The parser's own version action would end the process.
            System.out.println("filbertrudder " + VERSION);
            return ExitCode.OK;
        }
        if (List.of(arguments).equals(List.of(GATEWAY_COMMAND))) {
            // An instance starts without the parser, whose creation takes long.
            return GatewayCommand.run(environment);
        }
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(arguments);
            Command command = parsed.get("run");
            return command.run(parsed, environment);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("filbertrudder")
                        .build()
                        .description("Multi-region inference gateway for small public bodies.");
        parser.addArgument(VERSION_FLAG)
                .action(Arguments.storeTrue())
                .help("print the version and exit");
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        Subparser entry = commands.addParser("entry").help("run an entry instance");
        EntryOptions.addTo(entry);
        entry.setDefault("run", (Command) EntryCommand::run);
        commands.addParser(GATEWAY_COMMAND)
                .help("run a gateway instance on the users' platform")
                .setDefault(
                        "run", (Command) (parsed, environment) -> GatewayCommand.run(environment));
        commands.addParser("check-platform-settings")
                .help("check the settings file of a gateway instance")
                .setDefault("run", (Command) GatewayCommand::check);
        Subparser configuration =
                commands.addParser("check-platform-configuration")
                        .help("check a gateway configuration document before it is stored");
        configuration.addArgument("file").help("path of the JSON document");
        configuration.setDefault("run", (Command) GatewayCommand::checkConfiguration);
        ExplainCommand.addTo(commands);
        Subparser check =
                commands.addParser("check-settings")
                        .help("check the settings of an entry instance without starting it");
        EntryOptions.addTo(check);
        check.setDefault("run", (Command) EntryCommand::check);
        OperatorCommands.addTo(commands);
        return parser;
    }
}
