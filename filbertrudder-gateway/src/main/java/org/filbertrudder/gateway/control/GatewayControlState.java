package org.filbertrudder.gateway.control;

import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.store.StoreCalls;

/**
 * Shows the control state of an instance.
 *
 * @param members the known instances
 * @param revision the store revision of the configuration in force
 * @param stateAgeMs how long ago the configuration was confirmed, in milliseconds
 * @param endpoints the registered endpoints
 * @param allowances the tokens that may be granted here now, by account
 * @param storeCalls the calls to the store so far
 */
public record GatewayControlState(
        List<Member> members,
        long revision,
        long stateAgeMs,
        List<EndpointView> endpoints,
        Map<AccountId, Double> allowances,
        StoreCalls storeCalls) {}
