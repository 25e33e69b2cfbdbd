package org.filbertrudder.policy.routing;

import java.util.Collection;
import java.util.List;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.RegionId;

/** Tells the router which regions there are and what it costs to leave one. */
public interface RegionGraph {

    /** Returns all regions. */
    Collection<RegionId> regionIds();

    /** Returns the other regions, nearest first. */
    List<RegionId> nearestTo(RegionId here);

    /** Returns the one-way delay between two regions, in milliseconds. */
    double delayMs(RegionId from, RegionId to);

    /** Returns the extra expected wait that makes another region the better choice, in ms. */
    long awayCostMs();

    /** Returns the regions, links and rules of a configuration. */
    static RegionGraph of(Configuration configuration) {
        return new RegionGraph() {
            @Override
            public Collection<RegionId> regionIds() {
                return configuration.regionIds();
            }

            @Override
            public List<RegionId> nearestTo(RegionId here) {
                return configuration.nearestTo(here);
            }

            @Override
            public double delayMs(RegionId from, RegionId to) {
                return configuration.link(from, to).map(Link::delayMs).orElse(Double.MAX_VALUE);
            }

            @Override
            public long awayCostMs() {
                return configuration.rules().awayCostMs();
            }
        };
    }
}
