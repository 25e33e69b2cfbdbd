package org.filbertrudder.app;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Runs the operators' commands through the administration API. */
final class OperatorCommands {

    private static final String ADMIN_VARIABLE = "FILBERTRUDDER_ADMIN";
    private static final String TOKEN_VARIABLE = "FILBERTRUDDER_TOKEN";

    private OperatorCommands() {}

    static void addTo(Subparsers commands) {
        addInventory(commands);
        addKeys(commands);
        addOperators(commands);
        Subparsers changes = group(commands, "changes", "look at changes");
        Subparser status = leaf(changes, "status", "tell where a revision is in force");
        status.addArgument("--revision").help("the revision; default: the newest");
        status.setDefault(
                "run", action((client, args) -> client.get("/changes/status" + revisionOf(args))));
        Subparser history = leaf(changes, "list", "list recent changes");
        history.setDefault("run", action((client, args) -> client.get("/changes")));
        Subparsers instances = group(commands, "instances", "look at instances");
        Subparser list = leaf(instances, "list", "list the instances");
        list.setDefault("run", action((client, args) -> client.get("/instances")));
        Subparser drain = leaf(instances, "drain", "stop the instance that --admin names");
        drain.setDefault("run", action((client, args) -> client.send("POST", "/drain", "", null)));
        Subparser dump = leaf(commands, "dump", "show the state of an instance");
        dump.setDefault("run", action((client, args) -> client.get("/dump")));
        Subparser entries = leaf(commands, "entries", "list the instances that callers use");
        entries.addArgument("--url").required(true).help("where callers reach an instance");
        entries.setDefault(
                "run",
                action(
                        (client, args) ->
                                client.getAbsolute(args.getString("url") + "/v1/entries")));
    }

    private static void addInventory(Subparsers commands) {
        Subparsers inventory = group(commands, "inventory", "look at and change the inventory");
        Subparser get = leaf(inventory, "get", "print the inventory in force");
        get.setDefault("run", action((client, args) -> client.get("/inventory")));
        Subparser apply = leaf(inventory, "apply", "replace the inventory");
        apply.addArgument("file").help("a YAML or JSON file");
        apply.addArgument("--if-revision").help("only if this revision is in force");
        apply.setDefault(
                "run",
                action(
                        (client, args) ->
                                client.send(
                                        "PUT",
                                        "/inventory",
                                        read(args),
                                        args.getString("if_revision"))));
        Subparser diff = leaf(inventory, "diff", "show what applying a file would change");
        diff.addArgument("file").help("a YAML or JSON file");
        diff.setDefault(
                "run",
                action(
                        (client, args) ->
                                client.send("PUT", "/inventory?dryRun=true", read(args), null)));
    }

    private static void addKeys(Subparsers commands) {
        Subparsers keys = group(commands, "keys", "issue and withdraw keys");
        Subparser issue = leaf(keys, "issue", "issue a key; its text is shown once");
        issue.addArgument("account").help("the client account");
        issue.setDefault(
                "run",
                action(
                        (client, args) ->
                                client.send(
                                        "POST",
                                        "/keys",
                                        "{\"account\":\"" + args.getString("account") + "\"}",
                                        null)));
        Subparser withdraw = leaf(keys, "withdraw", "withdraw a key");
        withdraw.addArgument("id").help("the key's id");
        withdraw.setDefault(
                "run",
                action(
                        (client, args) ->
                                client.send("DELETE", "/keys/" + args.getString("id"), "", null)));
        Subparser list = leaf(keys, "list", "list the keys");
        list.setDefault("run", action((client, args) -> client.get("/keys")));
    }

    private static void addOperators(Subparsers commands) {
        Subparsers operators = group(commands, "operators", "issue and withdraw operators' tokens");
        Subparser issue = leaf(operators, "issue", "issue a token; its text is shown once");
        issue.addArgument("name").help("the operator's name in the audit log");
        issue.addArgument("--role").choices("READ", "OPERATE").setDefault("OPERATE");
        issue.setDefault(
                "run",
                action(
                        (client, args) ->
                                client.send(
                                        "POST",
                                        "/operators",
                                        "{\"name\":\""
                                                + args.getString("name")
                                                + "\",\"role\":\""
                                                + args.getString("role")
                                                + "\"}",
                                        null)));
        Subparser withdraw = leaf(operators, "withdraw", "withdraw an operator's token");
        withdraw.addArgument("name").help("the operator's name");
        withdraw.setDefault(
                "run",
                action(
                        (client, args) ->
                                client.send(
                                        "DELETE",
                                        "/operators/" + args.getString("name"),
                                        "",
                                        null)));
        Subparser list = leaf(operators, "list", "list the operators in the configuration");
        list.setDefault("run", action((client, args) -> client.get("/operators")));
    }

    private static Subparsers group(Subparsers commands, String name, String help) {
        return commands.addParser(name).help(help).addSubparsers().metavar("ACTION");
    }

    private static Subparser leaf(Subparsers parent, String name, String help) {
        Subparser parser = parent.addParser(name).help(help);
        parser.addArgument("--admin")
                .help("URL of an instance's administration API (" + ADMIN_VARIABLE + ")");
        parser.addArgument("--token")
                .help("operator's token (" + TOKEN_VARIABLE + ")")
                .action(Arguments.store());
        return parser;
    }

    private static String revisionOf(Namespace arguments) {
        String revision = arguments.getString("revision");
        return revision == null ? "" : "?revision=" + revision;
    }

    private static String read(Namespace arguments) throws IOException {
        return Files.readString(Path.of(arguments.getString("file")), StandardCharsets.UTF_8);
    }

    private static Command action(Action action) {
        return (arguments, environment) -> {
            String admin = value(arguments.getString("admin"), environment.get(ADMIN_VARIABLE));
            String token = value(arguments.getString("token"), environment.get(TOKEN_VARIABLE));
            if (admin.isEmpty() && arguments.getString("url") == null) {
                System.err.println("--admin (" + ADMIN_VARIABLE + "): is missing. Set it.");
                return ExitCode.USAGE;
            }
            try (AdminClient client = new AdminClient(URI.create(admin), token)) {
                AdminClient.Answer answer = action.run(client, arguments);
                System.out.println(answer.body());
                return answer.accepted() ? ExitCode.OK : ExitCode.REFUSED;
            } catch (IOException e) {
                System.err.println(e.getMessage());
                return ExitCode.FAILED;
            }
        };
    }

    private static String value(String flag, String variable) {
        if (flag != null) {
            return flag;
        }
        return variable == null ? "" : variable;
    }

    /** Sends one request to the administration API. */
    @FunctionalInterface
    private interface Action {
        AdminClient.Answer run(AdminClient client, Namespace arguments) throws IOException;
    }
}
