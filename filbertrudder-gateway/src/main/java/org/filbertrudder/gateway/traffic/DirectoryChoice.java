package org.filbertrudder.gateway.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;

/**
 * Chooses the instances that a caller of a host is told to use: those of its region, or if none of
 * them accepts requests, those in the regions that the host is known to allow.
 *
 * @param members the instances; empty if there are none, or if it is not known which are allowed
 * @param inRegion whether the instances are those of the caller's region
 * @param allowedRegions the regions that the host allows; empty if not known
 */
record DirectoryChoice(
        List<Member> members, boolean inRegion, Optional<AllowedRegions> allowedRegions) {

    /**
     * Returns the choice for a caller.
     *
     * @param configuration the configuration in force; null if there is none yet
     * @param acceptingByRegion the instances that accept requests
     * @param region the caller's region
     * @param host the host that the caller requests
     */
    static DirectoryChoice of(
            GatewayConfiguration configuration,
            Map<RegionId, List<Member>> acceptingByRegion,
            RegionId region,
            String host) {
        Optional<AllowedRegions> allowed =
                Optional.ofNullable(configuration).flatMap(each -> each.allowedRegionsOf(host));
        List<Member> regionMembers = acceptingByRegion.getOrDefault(region, List.of());
        if (!regionMembers.isEmpty()) {
            return new DirectoryChoice(regionMembers, true, allowed);
        }
        List<Member> allowedMembers =
                acceptingByRegion.values().stream()
                        .flatMap(List::stream)
                        .filter(member -> allowed.isPresent())
                        .filter(member -> allowed.get().allows(member.region()))
                        .toList();
        return new DirectoryChoice(allowedMembers, false, allowed);
    }
}
