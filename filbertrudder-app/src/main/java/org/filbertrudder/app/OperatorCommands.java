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

/** Defines the commands for operators, which call the administration API of an instance. */
final class OperatorCommands {

    private static final String ADMIN_VARIABLE = "FILBERTRUDDER_ADMIN";
    private static final String TOKEN_VARIABLE = "FILBERTRUDDER_TOKEN";

    private OperatorCommands() {}

    static void addTo(Subparsers commands) {
        addInventory(commands);
        addKeys(commands);
        addOperators(commands);
        Subparsers changes = commandGroup(commands, "changes", "show configuration changes");
        Subparser status =
                adminSubcommand(
                        changes, "status", "show on which instances a revision is in force");
        status.addArgument("--revision").help("revision to query (default: the newest)");
        status.setDefault(
                "run",
                adminCommand(
                        (client, args) -> client.get("/changes/status" + revisionQuery(args))));
        Subparser history = adminSubcommand(changes, "list", "list recent configuration changes");
        history.setDefault("run", adminCommand((client, args) -> client.get("/changes")));
        Subparsers instances = commandGroup(commands, "instances", "list and drain instances");
        Subparser list = adminSubcommand(instances, "list", "list all instances");
        list.setDefault("run", adminCommand((client, args) -> client.get("/instances")));
        Subparser drain =
                adminSubcommand(
                        instances,
                        "drain",
                        "finish the requests of the instance at --admin and stop it");
        drain.setDefault(
                "run", adminCommand((client, args) -> client.send("POST", "/drain", "", null)));
        Subparser dump =
                adminSubcommand(commands, "dump", "print the internal state of an instance");
        dump.setDefault("run", adminCommand((client, args) -> client.get("/dump")));
        Subparser entries =
                adminSubcommand(
                        commands,
                        "entries",
                        "list the instances that a caller should use, in the order of preference");
        entries.addArgument("--url").required(true).help("URL of the caller API of an instance");
        entries.setDefault(
                "run",
                adminCommand(
                        (client, args) ->
                                client.getAbsolute(args.getString("url") + "/v1/entries")));
    }

    private static void addInventory(Subparsers commands) {
        Subparsers inventory = commandGroup(commands, "inventory", "show and change the inventory");
        Subparser get = adminSubcommand(inventory, "get", "print the inventory in force");
        get.setDefault("run", adminCommand((client, args) -> client.get("/inventory")));
        Subparser apply =
                adminSubcommand(inventory, "apply", "replace the inventory with that in a file");
        apply.addArgument("file").help("path of a YAML or JSON file");
        apply.addArgument("--if-revision").help("apply only if this revision is in force");
        apply.setDefault(
                "run",
                adminCommand(
                        (client, args) ->
                                client.send(
                                        "PUT",
                                        "/inventory",
                                        readFile(args),
                                        args.getString("if_revision"))));
        Subparser diff =
                adminSubcommand(
                        inventory, "diff", "print the changes that applying a file would make");
        diff.addArgument("file").help("path of a YAML or JSON file");
        diff.setDefault(
                "run",
                adminCommand(
                        (client, args) ->
                                client.send(
                                        "PUT", "/inventory?dryRun=true", readFile(args), null)));
    }

    private static void addKeys(Subparsers commands) {
        Subparsers keys = commandGroup(commands, "keys", "issue, withdraw and list API keys");
        Subparser issue =
                adminSubcommand(keys, "issue", "issue an API key, which is printed only this once");
        issue.addArgument("account").help("id of the client account");
        issue.setDefault(
                "run",
                adminCommand(
                        (client, args) ->
                                client.send(
                                        "POST",
                                        "/keys",
                                        "{\"account\":\"" + args.getString("account") + "\"}",
                                        null)));
        Subparser withdraw = adminSubcommand(keys, "withdraw", "withdraw an API key");
        withdraw.addArgument("id").help("id of the key");
        withdraw.setDefault(
                "run",
                adminCommand(
                        (client, args) ->
                                client.send("DELETE", "/keys/" + args.getString("id"), "", null)));
        Subparser list = adminSubcommand(keys, "list", "list the API keys without their secrets");
        list.setDefault("run", adminCommand((client, args) -> client.get("/keys")));
    }

    private static void addOperators(Subparsers commands) {
        Subparsers operators =
                commandGroup(commands, "operators", "issue, withdraw and list operators' tokens");
        Subparser issue =
                adminSubcommand(
                        operators,
                        "issue",
                        "issue an operator's token, which is printed only this once");
        issue.addArgument("name").help("name of the operator, also used in the audit log");
        issue.addArgument("--role").choices("READ", "OPERATE").setDefault("OPERATE");
        issue.setDefault(
                "run",
                adminCommand(
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
        Subparser withdraw =
                adminSubcommand(operators, "withdraw", "withdraw the token of an operator");
        withdraw.addArgument("name").help("name of the operator");
        withdraw.setDefault(
                "run",
                adminCommand(
                        (client, args) ->
                                client.send(
                                        "DELETE",
                                        "/operators/" + args.getString("name"),
                                        "",
                                        null)));
        Subparser list =
                adminSubcommand(operators, "list", "list the operators in the configuration");
        list.setDefault("run", adminCommand((client, args) -> client.get("/operators")));
    }

    private static Subparsers commandGroup(Subparsers commands, String name, String help) {
        return commands.addParser(name).help(help).addSubparsers().metavar("ACTION");
    }

    private static Subparser adminSubcommand(Subparsers parent, String name, String help) {
        Subparser parser = parent.addParser(name).help(help);
        parser.addArgument("--admin")
                .help("URL of the administration API of an instance (" + ADMIN_VARIABLE + ")");
        parser.addArgument("--token")
                .help("token of the operator (" + TOKEN_VARIABLE + ")")
                .action(Arguments.store());
        return parser;
    }

    private static String revisionQuery(Namespace arguments) {
        String revision = arguments.getString("revision");
        return revision == null ? "" : "?revision=" + revision;
    }

    private static String readFile(Namespace arguments) throws IOException {
        return Files.readString(Path.of(arguments.getString("file")), StandardCharsets.UTF_8);
    }

    private static Command adminCommand(AdminRequest request) {
        return (arguments, environment) -> {
            String admin =
                    flagOrVariable(arguments.getString("admin"), environment.get(ADMIN_VARIABLE));
            String token =
                    flagOrVariable(arguments.getString("token"), environment.get(TOKEN_VARIABLE));
            if (admin.isEmpty() && arguments.getString("url") == null) {
                System.err.println("--admin (" + ADMIN_VARIABLE + "): is required. Set it.");
                return ExitCode.USAGE;
            }
            try (AdminClient client = new AdminClient(URI.create(admin), token)) {
                AdminClient.Response response = request.run(client, arguments);
                System.out.println(response.body());
                return response.successful() ? ExitCode.OK : ExitCode.ERROR_RESPONSE;
            } catch (IOException e) {
                System.err.println(e.getMessage());
                return ExitCode.FAILED;
            }
        };
    }

    private static String flagOrVariable(String flag, String variable) {
        if (flag != null) {
            return flag;
        }
        return variable == null ? "" : variable;
    }

    /** Sends a request to an instance and returns the response. */
    @FunctionalInterface
    private interface AdminRequest {
        AdminClient.Response run(AdminClient client, Namespace arguments) throws IOException;
    }
}
