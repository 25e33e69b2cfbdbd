package org.filbertrudder.gateway.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.ServiceId;

/** Finds mistakes in a configuration before it is put in force. */
public final class ConfigurationCheck {

    private ConfigurationCheck() {}

    /** Returns all mistakes, each with its remedy; empty if there are none. */
    public static List<String> problems(GatewayConfiguration configuration) {
        List<String> problems = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (RouteRule route : configuration.routes()) {
            checkRoute(route, configuration, problems);
            if (!places.add(route.host() + " " + route.pathPrefix())) {
                problems.add(
                        named(route)
                                + "has the host and prefix of another route. Remove one of them.");
            }
        }
        for (AccountRule account : configuration.accounts()) {
            checkAccount(account, configuration, problems);
        }
        return problems;
    }

    private static String named(RouteRule route) {
        return "Route '" + route.name() + "' ";
    }

    private static void checkRoute(
            RouteRule route, GatewayConfiguration configuration, List<String> problems) {
        if (route.host().isEmpty()) {
            problems.add(named(route) + "has no host. Name the host that callers use.");
        }
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            problems.add(
                    named(route)
                            + "has the prefix '"
                            + route.pathPrefix()
                            + "'. Begin and end it with a slash.");
        }
        if (route.goalMs() > route.timeoutMs()) {
            problems.add(
                    named(route)
                            + "ends after "
                            + route.timeoutMs()
                            + " ms, before its goal of "
                            + route.goalMs()
                            + " ms. Allow it more time.");
        }
        if (route.kind() == RequestKind.UNSAFE && route.maxRuns() > 1) {
            problems.add(named(route) + "must run once only but has more attempts. Set them to 1.");
        }
        for (Backend backend : route.backends()) {
            ServiceId service = backend.service();
            if (configuration.service(service).isEmpty()) {
                problems.add(named(route) + "leads to the unknown service '" + service + "'.");
            }
        }
        if (route.backends().stream().mapToDouble(Backend::weight).sum() <= 0) {
            problems.add(named(route) + "gives no service any weight. Give one a weight.");
        }
    }

    private static void checkAccount(
            AccountRule account, GatewayConfiguration configuration, List<String> problems) {
        Optional<RouteRule> apart =
                configuration.routes().stream()
                        .filter(route -> !route.open() && !account.homes().isEmpty())
                        .filter(route -> !route.homes().isEmpty())
                        .filter(route -> Collections.disjoint(route.homes(), account.homes()))
                        .findFirst();
        apart.ifPresent(
                route ->
                        problems.add(
                                "Account '"
                                        + account.id()
                                        + "' and route '"
                                        + route.name()
                                        + "' have no home in common, so all its requests there"
                                        + " are refused. Give them one."));
    }
}
