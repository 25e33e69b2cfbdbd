package org.filbertrudder.gateway.control;

import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.store.StoreCallCounts;

/**
 * Holds the control state of an instance for the state dump.
 *
 * @param members the instances in the membership list
 * @param revision the store revision of the configuration in force
 * @param stateAgeMs the time since the request that last confirmed the configuration, in
 *     milliseconds
 * @param endpoints the registered endpoints
 * @param allowances the tokens that this instance can grant now, by client account
 * @param storeCalls the number of calls to the store since the start
 * @param storeEra the newest era of the store that a response has reported
 */
public record GatewayControlState(
        List<Member> members,
        long revision,
        long stateAgeMs,
        List<EndpointAvailability> endpoints,
        Map<AccountId, Double> allowances,
        StoreCallCounts storeCalls,
        StoreEra storeEra) {}
