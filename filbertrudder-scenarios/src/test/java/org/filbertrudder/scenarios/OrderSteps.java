package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.filbertrudder.model.Rules;
import org.filbertrudder.model.Service;

/** Step definitions for the orders that tell engines which model version and adapters to load. */
public class OrderSteps {

    private final ScenarioContext mContext;
    private String mPausedIssuer;
    private long mRecordedOrderCount;
    private int mLoadsPerMinute = Rules.DEFAULT.weightLoadsPerMinute();

    public OrderSteps(ScenarioContext context) {
        mContext = context;
    }

    @Given("a bureau fleet of {int} instances whose engines {word} fencing tokens")
    public void startFleetWithFencing(int instances, String fencingMode) {
        startFleetWithArgument(
                instances, "--fencing", Boolean.toString(fencingMode.equals("check")));
    }

    @Given("a bureau fleet of {int} instances whose engines take {int} ms to load weights")
    public void startFleetWithLoadTime(int instances, int loadMs) {
        startFleetWithArgument(instances, "--load-ms", Integer.toString(loadMs));
    }

    private void startFleetWithArgument(int instances, String argument, String value) {
        Path logDirectory = Path.of("target", "scenario-logs", Long.toString(System.nanoTime()));
        FleetOptions options = FleetOptions.of(instances).withEndpointArgument(argument, value);
        mContext.setFleet(Fleet.start(Deployment.BUREAU, options, logDirectory));
        mContext.fleet().awaitShardOwnership();
    }

    @Given("a weight store limit of {int} loads per minute")
    public void setWeightStoreLimit(int loadsPerMinute) {
        mLoadsPerMinute = loadsPerMinute;
    }

    @When("an operator sets the model version to {string} with adapters {string}")
    public void setModelVersion(String version, String adapters) {
        Fleet fleet = mContext.fleet();
        List<Service> services =
                fleet.initialInventory().services().stream()
                        .map(service -> withSetup(service, version, splitAdapters(adapters)))
                        .toList();
        String instance =
                fleet.instanceIds().stream()
                        .filter(id -> !id.equals(mPausedIssuer))
                        .findFirst()
                        .orElseThrow();
        Rules rules = fleet.initialInventory().rules().withWeightLoadsPerMinute(mLoadsPerMinute);
        fleet.applyInventory(
                fleet.initialInventory().withServices(services).withRules(rules), instance);
    }

    private static Service withSetup(Service service, String version, List<String> adapters) {
        return service.models().isEmpty()
                ? service
                : service.withVersionAndAdapters(version, adapters);
    }

    private static List<String> splitAdapters(String adapters) {
        return adapters.isEmpty() ? List.of() : List.of(adapters.split(","));
    }

    @Then("within {int} seconds all engines have loaded version {string} with adapters {string}")
    public void allEnginesHaveLoaded(int seconds, String version, String adapters) {
        Fleet.await(
                "version " + version + " loaded on all engines",
                seconds * 1_000L,
                () ->
                        engineSetups().stream()
                                .allMatch(
                                        setup ->
                                                hasLoaded(
                                                        setup, version, splitAdapters(adapters))));
    }

    private static boolean hasLoaded(JsonNode setup, String version, List<String> adapters) {
        List<String> loaded = new ArrayList<>();
        setup.path("loaded").path("adapters").forEach(adapter -> loaded.add(adapter.asText()));
        return setup.path("loaded").path("version").asText().equals(version)
                && loaded.equals(adapters)
                && !setup.path("switching").asBoolean();
    }

    private List<JsonNode> engineSetups() {
        return mContext.fleet().endpoints().engineStats().stream()
                .map(stats -> stats.path("setup"))
                .toList();
    }

    @Then("at most one engine per region was out of service at a time")
    public void oneEngineOutOfServicePerRegion() {
        List<JsonNode> setups = engineSetups();
        int regions = mContext.fleet().deployment().regions().size();
        for (int i = 0; i < setups.size(); i++) {
            for (int j = i + regions; j < setups.size(); j += regions) {
                assertTrue(
                        haveDisjointOutages(setups.get(i), setups.get(j)),
                        "engines " + i + " and " + j + ": " + setups);
            }
        }
    }

    private static boolean haveDisjointOutages(JsonNode firstEngine, JsonNode secondEngine) {
        for (JsonNode firstOutage : firstEngine.path("away")) {
            for (JsonNode secondOutage : secondEngine.path("away")) {
                boolean endsBefore = firstOutage.get(1).asLong() <= secondOutage.get(0).asLong();
                boolean startsAfter = secondOutage.get(1).asLong() <= firstOutage.get(0).asLong();
                if (!endsBefore && !startsAfter) {
                    return false;
                }
            }
        }
        return true;
    }

    @Then("the weight store has rejected no loads")
    public void weightStoreRejectedNothing() {
        JsonNode stats = mContext.fleet().platform().weightStoreStats();
        assertTrue(stats.path("served").asInt() > 0, stats.toString());
        assertEquals(stats.path("refused").asInt(), 0, stats.toString());
    }

    @When("the instance that issues orders in region {string} is paused")
    public void pauseIssuer(String region) {
        mPausedIssuer =
                mContext.fleet().runningInstancesIn(region).stream()
                        .filter(id -> issuesOrders(id))
                        .findFirst()
                        .orElseThrow();
        mContext.fleet().process(mPausedIssuer).sendSignal("STOP");
    }

    private boolean issuesOrders(String id) {
        return !mContext.fleet().dump(id).path("control").path("orders").isEmpty();
    }

    @When("the paused instance resumes")
    public void resumeIssuer() {
        mContext.fleet().process(mPausedIssuer).sendSignal("CONT");
    }

    @Then("no engine has received an order with an outdated fencing token")
    public void noOutdatedOrders() {
        for (JsonNode setup : engineSetups()) {
            assertEquals(setup.path("staleAccepted").asInt(), 0, setup.toString());
            assertEquals(setup.path("refused").asInt(), 0, setup.toString());
        }
    }

    @When("the number of orders is recorded")
    public void recordOrderCount() {
        mRecordedOrderCount = countAcceptedOrders();
    }

    @Then("no engine has received further orders")
    public void noFurtherOrders() {
        assertEquals(countAcceptedOrders(), mRecordedOrderCount);
    }

    private long countAcceptedOrders() {
        return engineSetups().stream().mapToLong(setup -> setup.path("accepted").size()).sum();
    }
}
