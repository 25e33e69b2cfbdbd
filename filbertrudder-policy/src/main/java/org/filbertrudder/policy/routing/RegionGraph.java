package org.filbertrudder.policy.routing;

import java.util.Collection;
import java.util.List;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.RegionId;

/** Provides the regions, the delays between them and the cost of forwarding a request. */
public interface RegionGraph {

    /** Returns all regions. */
    Collection<RegionId> regionIds();

    /** Returns the other regions, nearest first. */
    List<RegionId> nearestTo(RegionId region);

    /** Returns the one-way delay between two regions, in milliseconds. */
    double delayMs(RegionId from, RegionId to);

    /**
     * Returns the fixed cost of forwarding a request, in milliseconds: how much longer the local
     * wait must be for another region to be preferred.
     */
    long forwardingCostMs();

    /** Returns a view of the regions, links and rules of a configuration. */
    static RegionGraph of(Configuration configuration) {
        return new RegionGraph() {
            @Override
            public Collection<RegionId> regionIds() {
                return configuration.regionIds();
            }

            @Override
            public List<RegionId> nearestTo(RegionId region) {
                return configuration.nearestTo(region);
            }

            @Override
            public double delayMs(RegionId from, RegionId to) {
                return configuration.link(from, to).map(Link::delayMs).orElse(Double.MAX_VALUE);
            }

            @Override
            public long forwardingCostMs() {
                return configuration.rules().awayCostMs();
            }
        };
    }
}
