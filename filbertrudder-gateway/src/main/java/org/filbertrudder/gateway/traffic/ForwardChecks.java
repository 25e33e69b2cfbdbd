package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;

/** Checks forwarded requests against the own configuration. */
final class ForwardChecks {

    private ForwardChecks() {}

    /**
     * Returns whether a forwarded request runs at the service that its sender has chosen. A newer
     * configuration than the own one may have moved the route; one that is as new or older has
     * chosen for the request, which may go on with a stream of that service.
     */
    static boolean mayFollow(
            PeerMessage.ForwardStart start,
            ServiceId service,
            Optional<RouteRule> route,
            GatewayConfiguration configuration) {
        return start.revision() > configuration.version()
                || route.filter(each -> each.isServedBy(service)).isPresent();
    }

    /** Returns whether the key of a forwarded request belongs to its account. */
    static boolean keyMatchesAccount(
            GatewayConfiguration configuration,
            PeerMessage.ForwardStart start,
            RouteRule route,
            Optional<AccountRule> account) {
        if (route.anonymous() || !configuration.hasAccounts()) {
            return true;
        }
        KeyId key = start.key();
        return account.isPresent()
                && key != null
                && configuration.accountOfKeyDigest(key).equals(account);
    }
}
