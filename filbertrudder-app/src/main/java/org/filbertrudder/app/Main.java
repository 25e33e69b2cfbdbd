package org.filbertrudder.app;

import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Starts the program. */
public final class Main {

    private static final String VERSION = "0.1.0";

    private Main() {}

    /** Runs the command that the arguments name and exits. */
    public static void main(String[] arguments) {
        int code = run(arguments, System.getenv());
        if (code != ExitCode.OK) {
            System.exit(code);
        }
    }

    static int run(String[] arguments, Map<String, String> environment) {
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
                        .description("Multi-region inference gateway for small public bodies.")
                        .version("filbertrudder " + VERSION);
        parser.addArgument("--version").action(net.sourceforge.argparse4j.impl.Arguments.version());
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        Subparser entry = commands.addParser("entry").help("run an entry instance");
        EntryOptions.addTo(entry);
        entry.setDefault("run", (Command) EntryCommand::run);
        Subparser check =
                commands.addParser("check-settings").help("check the settings of an instance");
        EntryOptions.addTo(check);
        check.setDefault("run", (Command) EntryCommand::check);
        OperatorCommands.addTo(commands);
        return parser;
    }
}
