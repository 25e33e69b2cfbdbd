package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.ApiKey;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.Rules;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.ServiceKind;

/** Creates configurations of a given size for measurements. */
final class SyntheticConfiguration {

    private static final int ENGINE_SLOTS = 16;
    private static final int DOMAINS_PER_REGION = 3;
    private static final ServiceId MODEL_SERVICE = ServiceId.of("chat");

    private SyntheticConfiguration() {}

    static RegionId region(int number) {
        return RegionId.of("region-" + number);
    }

    static AccountId account(int number) {
        return AccountId.of("account-" + number);
    }

    static ServiceId modelService() {
        return MODEL_SERVICE;
    }

    /** Returns a configuration whose model endpoints are spread evenly over the regions. */
    static Configuration of(int regions, int endpoints, int accounts) {
        List<Entity> entities = new ArrayList<>();
        entities.add(Rules.DEFAULT);
        entities.add(
                Service.of(
                        MODEL_SERVICE,
                        ServiceKind.MODEL,
                        List.of("m1", "m2", "m3", "m4"),
                        List.of(),
                        true));
        for (int i = 0; i < regions; i++) {
            entities.add(new Region(region(i), domains(i)));
            for (int j = i + 1; j < regions; j++) {
                entities.add(new Link(region(i), region(j), 10 + (i * 7 + j) % 90, 1_000_000_000));
            }
        }
        for (int i = 0; i < endpoints; i++) {
            entities.add(createEndpoint(i, regions));
        }
        for (int i = 0; i < accounts; i++) {
            entities.add(createAccount(i, regions));
            entities.add(
                    new ApiKey(KeyId.of("k" + i), account(i), Digests.sha256(Integer.toString(i))));
        }
        return Configuration.of(1, "start", entities);
    }

    private static List<FailureDomainId> domains(int region) {
        List<FailureDomainId> domains = new ArrayList<>();
        for (int i = 0; i < DOMAINS_PER_REGION; i++) {
            domains.add(FailureDomainId.of(region(region) + "-" + i));
        }
        return domains;
    }

    private static Endpoint createEndpoint(int number, int regions) {
        int region = number % regions;
        return Endpoint.of(
                EndpointId.of("engine-" + number),
                MODEL_SERVICE,
                region(region),
                domains(region).get(number / regions % DOMAINS_PER_REGION),
                "10.0.0.1",
                1 + number % 65_000,
                ENGINE_SLOTS);
    }

    private static Account createAccount(int number, int regions) {
        boolean homeRegionOnly = number % 7 == 0;
        Set<RegionId> residency = homeRegionOnly ? Set.of(region(number % regions)) : Set.of();
        Map<RegionId, Double> shares =
                homeRegionOnly || regions < 3
                        ? Map.of()
                        : Map.of(
                                region(number % regions),
                                0.5,
                                region((number + 1) % regions),
                                0.25,
                                region((number + 2) % regions),
                                0.25);
        return new Account(account(number), Contract.of(3_000, 9_000), residency, shares);
    }

    /** Returns a change that sets the contract of one account. */
    static Change contractChange(Configuration base, int account, int regions) {
        Account oldAccount = createAccount(account, regions);
        double rate = 3_000 + base.revision();
        Account newAccount =
                new Account(
                        oldAccount.id(),
                        Contract.of(rate, 9_000),
                        oldAccount.residency(),
                        oldAccount.shares());
        return new Change(
                base.revision() + 1,
                "00000000-0000-0000-0000-" + String.format("%012d", base.revision()),
                "operator",
                1_800_000_000_000L,
                base.digest(),
                List.of(new Edit.Put(newAccount)));
    }
}
