package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.Rules;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.ServiceKind;

/** Describes the regions, links, endpoints and accounts of the two existing deployments. */
public enum Deployment {
    BUREAU(List.of("mtl", "sag", "gas"), 8, 3, 1_200_000_000L, 1.5, "rulebook", "bookings", 200),
    UTRECHT(
            List.of("noord", "midden", "zuid"),
            13,
            3,
            100_000_000L,
            1.0,
            "summaries",
            "slots",
            2_000);

    private static final double LINK_DELAY_MS = 80;
    private static final int SLOTS_PER_PLAIN_ENDPOINT = 32;

    private final List<String> mRegions;
    private final int mEngineCount;
    private final int mPlainEndpointCount;
    private final long mLinkBitsPerSecond;
    private final double mDomainDelayMs;
    private final String mModelServiceId;
    private final String mPlainServiceId;
    private final long mForwardingCostMs;

    Deployment(
            List<String> regions,
            int engineCount,
            int plainEndpointCount,
            long linkBitsPerSecond,
            double domainDelayMs,
            String modelServiceId,
            String plainServiceId,
            long forwardingCostMs) {
        mRegions = regions;
        mEngineCount = engineCount;
        mPlainEndpointCount = plainEndpointCount;
        mLinkBitsPerSecond = linkBitsPerSecond;
        mDomainDelayMs = domainDelayMs;
        mModelServiceId = modelServiceId;
        mPlainServiceId = plainServiceId;
        mForwardingCostMs = forwardingCostMs;
    }

    /** Returns the ids of the regions. */
    public List<String> regions() {
        return mRegions;
    }

    /** Returns the number of model engines. */
    public int engineCount() {
        return mEngineCount;
    }

    /** Returns the number of endpoints of the service that runs no models. */
    public int plainEndpointCount() {
        return mPlainEndpointCount;
    }

    /** Returns the id of the service that runs no models. */
    public String plainServiceId() {
        return mPlainServiceId;
    }

    /** Returns the one-way delay between failure domains in milliseconds. */
    public double domainDelayMs() {
        return mDomainDelayMs;
    }

    /**
     * Returns the failure domain of the n-th instance or endpoint of a region; domains alternate.
     */
    public static String failureDomain(String region, int number) {
        return region + "-" + (number % 2 == 0 ? "a" : "b");
    }

    /** Returns the ids of the five client accounts, in descending order of size. */
    public List<String> accounts() {
        return List.of("federation", "museum", "club-north", "club-south", "youth");
    }

    /** Returns the inventory for endpoints that listen on the given loopback ports. */
    public Inventory inventory(
            List<Integer> enginePorts, List<Integer> servicePorts, int engineSlots) {
        return new Inventory(
                createRegions(),
                createLinks(),
                createServices(mModelServiceId, mPlainServiceId),
                createEndpoints(enginePorts, servicePorts, engineSlots),
                createAccounts(),
                Rules.of(10_000, 120_000, 64, mForwardingCostMs, 0.1));
    }

    private List<Region> createRegions() {
        return mRegions.stream()
                .map(
                        region ->
                                new Region(
                                        RegionId.of(region),
                                        List.of(
                                                FailureDomainId.of(region + "-a"),
                                                FailureDomainId.of(region + "-b"))))
                .toList();
    }

    private List<Link> createLinks() {
        List<Link> links = new ArrayList<>();
        for (int i = 0; i < mRegions.size(); i++) {
            for (int j = i + 1; j < mRegions.size(); j++) {
                links.add(
                        new Link(
                                RegionId.of(mRegions.get(i)),
                                RegionId.of(mRegions.get(j)),
                                LINK_DELAY_MS,
                                mLinkBitsPerSecond));
            }
        }
        return links;
    }

    private static List<Service> createServices(String modelServiceId, String plainServiceId) {
        return List.of(
                Service.of(
                        ServiceId.of(modelServiceId),
                        ServiceKind.MODEL,
                        List.of("small"),
                        List.of(),
                        true),
                Service.of(
                        ServiceId.of(plainServiceId),
                        ServiceKind.PLAIN,
                        List.of(),
                        List.of("/status"),
                        false));
    }

    private List<Endpoint> createEndpoints(
            List<Integer> enginePorts, List<Integer> servicePorts, int engineSlots) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < enginePorts.size(); i++) {
            endpoints.add(createEndpoint(mModelServiceId, i, enginePorts.get(i), engineSlots));
        }
        for (int i = 0; i < servicePorts.size(); i++) {
            endpoints.add(
                    createEndpoint(
                            mPlainServiceId, i, servicePorts.get(i), SLOTS_PER_PLAIN_ENDPOINT));
        }
        return endpoints;
    }

    private Endpoint createEndpoint(String serviceId, int number, int port, int slots) {
        String region = mRegions.get(number % mRegions.size());
        return Endpoint.of(
                EndpointId.of(serviceId + "-" + number),
                ServiceId.of(serviceId),
                RegionId.of(region),
                FailureDomainId.of(failureDomain(region, number / mRegions.size())),
                "127.0.0.1",
                port,
                slots);
    }

    private List<Account> createAccounts() {
        RegionId homeRegion = RegionId.of(mRegions.get(0));
        List<Account> accounts = new ArrayList<>();
        for (String id : accounts()) {
            boolean large = id.equals("federation") || id.equals("museum");
            Contract contract = large ? Contract.of(3_000, 9_000) : Contract.of(300, 1_500);
            boolean homeRegionOnly = id.equals("youth");
            accounts.add(
                    new Account(
                            AccountId.of(id),
                            contract,
                            homeRegionOnly ? Set.of(homeRegion) : Set.of(),
                            Map.of()));
        }
        return accounts;
    }
}
