package org.filbertrudder.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the inventory document, the configuration revisions and their validation. */
public class InventoryTest {

    private static final String VALID_DOCUMENT =
            String.join(
                    "\n",
                    "regions:",
                    "  - id: mtl",
                    "    failureDomains: [mtl-a, mtl-b]",
                    "  - id: sag",
                    "    failureDomains: [sag-a]",
                    "links:",
                    "  - {from: mtl, to: sag, delayMs: 80, bitsPerSecond: 1000000}",
                    "services:",
                    "  - {id: chat, type: MODEL, models: [small], fencesOrders: false}",
                    "endpoints:",
                    "  - id: chat-1",
                    "    service: chat",
                    "    region: mtl",
                    "    failureDomain: mtl-a",
                    "    host: 127.0.0.1",
                    "    port: 9000",
                    "    slots: 8",
                    "accounts:",
                    "  - id: club",
                    "    contract: {ratePerSecond: 100, burst: 500}",
                    "    residency: [mtl]",
                    "");

    private static Configuration configurationFrom(String document) {
        Inventory inventory = Inventory.parse(document);
        return Configuration.EMPTY.apply(
                new Change(1, "id", "test", 0, "", inventory.editsFrom(Configuration.EMPTY)));
    }

    @Test
    public void parsesAnInventoryAndAppliesDefaultRules() {
        Configuration configuration = configurationFrom(VALID_DOCUMENT);

        assertTrue(ConfigurationValidator.validate(configuration).isEmpty());
        assertEquals(
                configuration.link(RegionId.of("sag"), RegionId.of("mtl")).get().delayMs(), 80);
        assertEquals(configuration.serviceForModel("small").get().id(), ServiceId.of("chat"));
        assertEquals(configuration.rules(), Rules.DEFAULT);
    }

    @Test
    public void writtenInventoryParsesToTheSameConfiguration() {
        Configuration configuration = configurationFrom(VALID_DOCUMENT);
        String written = Inventory.from(configuration).toYaml();

        assertTrue(Inventory.parse(written).editsFrom(configuration).isEmpty(), written);
    }

    @DataProvider
    public Object[][] invalidDocuments() {
        return new Object[][] {
            {"regions:\n  - {id: mtl, failureDomain: [a]}", "regions[0].failureDomain", "unknown"},
            {"regions:\n  - {id: 'no spaces', failureDomains: [a]}", "regions[0].id", "not valid"},
            {"rules: {maxQueueWaitMs: soon}", "rules.maxQueueWaitMs", "soon"},
            {"nonsense: 1", "nonsense", "unknown field"},
            {"", "empty", "regions"},
        };
    }

    @Test(dataProvider = "invalidDocuments")
    public void parseErrorNamesThePathAndTheReason(String document, String path, String reason) {
        InvalidValueException error =
                expectThrows(InvalidValueException.class, () -> Inventory.parse(document));

        assertTrue(error.getMessage().contains(path), error.getMessage());
        assertTrue(error.getMessage().contains(reason), error.getMessage());
    }

    @DataProvider
    public Object[][] inconsistentReplacements() {
        return new Object[][] {
            {"region: mtl", "region: gas", "endpoint/chat-1.region"},
            {"failureDomain: mtl-a", "failureDomain: sag-a", "endpoint/chat-1.failureDomain"},
            {"service: chat", "service: talk", "service/chat.endpoints"},
            {"port: 9000", "port: 90000", "endpoint/chat-1.port"},
            {"slots: 8", "slots: 0", "endpoint/chat-1.slots"},
            {"burst: 500", "burst: 50", "account/club.contract.burst"},
            {"ratePerSecond: 100", "ratePerSecond: -1", "account/club.contract.ratePerSecond"},
            {"residency: [mtl]", "residency: [gas]", "account/club.residency"},
            {"residency: [mtl]", "shares: {mtl: 0.4}", "account/club.shares"},
            {
                "residency: [mtl]",
                "residency: [mtl]\n    shares: {mtl: 0.5, sag: 0.5}",
                "account/club.shares"
            },
            {"models: [small]", "models: []", "service/chat.models"},
            {"delayMs: 80", "delayMs: -1", "link/mtl~sag.delayMs"},
            {"failureDomains: [sag-a]", "failureDomains: []", "region/sag.failureDomains"},
        };
    }

    @Test(dataProvider = "inconsistentReplacements")
    public void reportsTheFieldThatIsInconsistent(String valid, String invalid, String path) {
        Configuration configuration = configurationFrom(VALID_DOCUMENT.replace(valid, invalid));

        List<ConfigurationProblem> problems = ConfigurationValidator.validate(configuration);

        assertTrue(
                problems.stream().anyMatch(problem -> problem.path().equals(path)),
                problems.toString());
    }

    @Test
    public void rejectsRemovalOfAnAccountThatHasKeys() {
        Configuration configuration = configurationFrom(VALID_DOCUMENT);
        ApiKey key = new ApiKey(KeyId.of("k1"), AccountId.of("club"), Digests.sha256("secret"));
        List<Edit> edits =
                List.of(
                        new Edit.Put(key),
                        new Edit.Remove(EntityKey.of(EntityKind.ACCOUNT, "club")));

        Configuration next =
                configuration.apply(new Change(2, "id2", "test", 0, configuration.digest(), edits));

        assertEquals(ConfigurationValidator.validate(next).get(0).path(), "key/k1.account");
    }

    @Test
    public void applyingAChangeLeavesTheEarlierRevisionUnchanged() {
        Configuration first = configurationFrom(VALID_DOCUMENT);
        Configuration second =
                first.apply(
                        new Change(
                                2,
                                "id2",
                                "test",
                                0,
                                first.digest(),
                                List.of(new Edit.Put(Rules.of(1, 2, 3, 4, 0.5)))));

        assertEquals(first.rules(), Rules.DEFAULT);
        assertEquals(second.rules().maxQueueWaitMs(), 1);
        assertEquals(second.lastChangeRevision(EntityKind.RULES), 2);
        assertEquals(second.lastChangeRevision(EntityKind.ENDPOINT), 1);
    }

    @DataProvider
    public Object[][] edits() {
        Contract burstBelowRate = Contract.of(100, 10);
        String digest = Digests.sha256("secret");
        return new Object[][] {
            {new Edit.Put(new ApiKey(KeyId.of("k2"), AccountId.of("club"), digest))},
            {new Edit.Put(new ApiKey(KeyId.of("k2"), AccountId.of("nobody"), digest))},
            {new Edit.Put(new ApiKey(KeyId.of("k2"), AccountId.of("club"), "short"))},
            {new Edit.Put(new Account(AccountId.of("club"), burstBelowRate, Set.of(), Map.of()))},
            {new Edit.Put(Rules.of(-1, 2, 3, 4, 0.5))},
            {new Edit.Remove(EntityKey.of(EntityKind.ACCOUNT, "club"))},
            {new Edit.Remove(EntityKey.of(EntityKind.KEY, "k1"))},
            {new Edit.Remove(EntityKey.of(EntityKind.ENDPOINT, "chat-1"))},
            {new Edit.Remove(EntityKey.of(EntityKind.REGION, "mtl"))},
        };
    }

    @Test(dataProvider = "edits")
    public void validatingTheEditsFindsTheSameProblemsAsValidatingEverything(Edit edit) {
        ApiKey key = new ApiKey(KeyId.of("k1"), AccountId.of("club"), Digests.sha256("secret"));
        List<Edit> edits = List.of(new Edit.Put(key), edit);
        Configuration configuration = configurationFrom(VALID_DOCUMENT);

        Configuration next =
                configuration.apply(new Change(2, "id2", "test", 0, configuration.digest(), edits));

        assertEquals(
                ConfigurationValidator.validateEdits(next, edits),
                ConfigurationValidator.validate(next));
    }
}
