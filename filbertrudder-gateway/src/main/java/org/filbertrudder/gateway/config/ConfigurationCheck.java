package org.filbertrudder.gateway.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.ServiceId;

/** Validates a configuration before it is put in force. */
public final class ConfigurationCheck {

    private ConfigurationCheck() {}

    /** Returns one message for each problem, with its remedy; empty if there are no problems. */
    public static List<String> problems(GatewayConfiguration configuration) {
        List<String> problems = new ArrayList<>();
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (RouteRule route : configuration.routes()) {
            checkRoute(route, configuration, problems);
            if (!hostsAndPrefixes.add(route.host() + " " + route.pathPrefix())) {
                problems.add(
                        messageStart(route)
                                + "has the host and prefix of another route. Remove one of them.");
            }
        }
        for (AccountRule account : configuration.accounts()) {
            checkAccount(account, configuration, problems);
        }
        return problems;
    }

    private static String messageStart(RouteRule route) {
        return "Route '" + route.name() + "' ";
    }

    private static void checkRoute(
            RouteRule route, GatewayConfiguration configuration, List<String> problems) {
        if (route.host().isEmpty()) {
            problems.add(messageStart(route) + "has no host. Set the host name that callers use.");
        }
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            problems.add(
                    messageStart(route)
                            + "has the path prefix '"
                            + route.pathPrefix()
                            + "'. It must begin and end with a slash.");
        }
        if (route.goalMs() > route.timeoutMs()) {
            problems.add(
                    messageStart(route)
                            + "has a timeout of "
                            + route.timeoutMs()
                            + " ms, shorter than its goal of "
                            + route.goalMs()
                            + " ms. Increase the timeout.");
        }
        if (route.kind() == RequestKind.UNSAFE && route.maxRuns() > 1) {
            problems.add(
                    messageStart(route)
                            + "must run once only, but attempts exceeds 1. Set it to 1.");
        }
        for (Backend backend : route.backends()) {
            ServiceId service = backend.service();
            if (configuration.service(service).isEmpty()) {
                problems.add(messageStart(route) + "names the unknown service '" + service + "'.");
            }
        }
        if (route.backends().stream().mapToDouble(Backend::weight).sum() <= 0) {
            problems.add(messageStart(route) + "has no backend with a positive weight. Set one.");
        }
    }

    private static void checkAccount(
            AccountRule account, GatewayConfiguration configuration, List<String> problems) {
        Optional<RouteRule> disjointRoute =
                configuration.routes().stream()
                        .filter(route -> !route.anonymous())
                        .filter(
                                route ->
                                        route.allowedRegions()
                                                .and(account.allowedRegions())
                                                .allowsNone())
                        .findFirst();
        disjointRoute.ifPresent(
                route ->
                        problems.add(
                                "Account '"
                                        + account.id()
                                        + "' and route '"
                                        + route.name()
                                        + "' have no home in common, so all requests of the account"
                                        + " to this route are refused. Add a common home region."));
    }
}
