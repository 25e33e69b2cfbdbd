package org.filbertrudder.gateway.traffic;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;

/** Creates the exchanges of forwarded requests after checking route, account and key again. */
final class ForwardedExchangeFactory {

    private static final ComponentLogger LOG = ComponentLogger.of("traffic");

    private final HttpProtocol mProtocol;
    private final RandomGenerator mRandom;

    ForwardedExchangeFactory(HttpProtocol protocol, RandomGenerator random) {
        mProtocol = protocol;
        mRandom = random;
    }

    /**
     * Returns the exchange of a forwarded request; empty if the request was refused.
     *
     * @param senderVersion the protocol version that the sender supports
     */
    Optional<GatewayExchange> create(
            PeerMessage.ForwardStart received,
            int senderVersion,
            GatewayConfiguration configuration,
            GatewayResponseSink sink,
            long nowMs) {
        PeerMessage.ForwardStart start = received;
        RequestHead head;
        Optional<RouteRule> route;
        try {
            head = readHead(start);
            route = configuration.route(head.host(), start.uri().split("\\?", 2)[0]);
            if (EarlierForwardFormat.isUsedBy(senderVersion)) {
                boolean resumable = route.filter(RouteRule::isRepeatable).isPresent();
                start = EarlierForwardFormat.readStart(start, resumable);
                head = readHead(start);
            }
            requirePosition(start);
        } catch (MalformedRequestException e) {
            LOG.warn(
                    "A malformed forwarded request is refused.",
                    LogField.of("id", received.requestId()),
                    LogField.of("origin", received.origin()),
                    LogField.of("why", e.getMessage()));
            sink.refuse(GatewayRefusal.malformed(e.getMessage()));
            return Optional.empty();
        }
        Optional<AccountRule> account =
                Optional.ofNullable(start.account()).flatMap(configuration::account);
        Optional<ServiceId> chosenService = chosenService(start, route, configuration);
        boolean verified =
                route.isPresent()
                        && ForwardChecks.keyMatchesAccount(
                                configuration, start, route.get(), account)
                        && chosenService.map(configuration::service).stream()
                                .allMatch(Optional::isPresent);
        if (!verified) {
            // The two instances may temporarily have different versions of the configuration.
            sink.refuse(GatewayRefusal.stateOutdated());
            return Optional.empty();
        }
        GatewayExchange exchange =
                new GatewayExchange(
                        head.forwarded(start.deadlineMs()),
                        start.method(),
                        start.uri(),
                        Buffer.buffer(start.body()),
                        route.get(),
                        account,
                        chosenService.orElseGet(
                                () -> route.get().chooseService(mRandom.nextDouble())),
                        true,
                        sink,
                        nowMs);
        exchange.setOrigin(start.origin());
        if (start.resumeAfter() != null) {
            exchange.setRelay(new StreamRelay(sink, start.resumeAfter()));
        }
        return Optional.of(exchange);
    }

    private RequestHead readHead(PeerMessage.ForwardStart start) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        start.headers().forEach(headers::add);
        return mProtocol.readRequest(headers);
    }

    private static void requirePosition(PeerMessage.ForwardStart start) {
        if (start.resumeAfter() != null && start.resumeAfter() < 0) {
            throw new MalformedRequestException(
                    "The id of the last event must be a non-negative number.");
        }
    }

    /** Returns the service that the sender has chosen; empty if its choice does not apply here. */
    private static Optional<ServiceId> chosenService(
            PeerMessage.ForwardStart start,
            Optional<RouteRule> route,
            GatewayConfiguration configuration) {
        return Optional.ofNullable(start.service())
                .filter(service -> ForwardChecks.mayFollow(start, service, route, configuration));
    }
}
