package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;

/** Step definitions for stopping and replacing instances. */
public class StopSteps {

    private final ScenarioContext mContext;
    private ContinuousLoad mLoad;

    public StopSteps(ScenarioContext context) {
        mContext = context;
    }

    @Given("contract limits multiplied by {int}")
    public void multiplyContractLimits(int factor) {
        mContext.fleet().scaleContracts(factor);
    }

    @When("the instance {string} is killed")
    public void kill(String id) {
        mContext.fleet().process(id).kill();
        mContext.fleet().platform().removeLiveListEntry(id);
    }

    @When("the instance {string} is asked to shut down")
    public void terminate(String id) {
        mContext.fleet().process(id).terminate();
    }

    @Then("the instance {string} exits with code 0")
    public void exitsNormally(String id) {
        int exitCode = mContext.fleet().process(id).awaitExit(30_000);
        mContext.fleet().platform().removeLiveListEntry(id);
        assertEquals(exitCode, 0, "exit code");
    }

    @Then("every shard is owned by a running instance")
    public void everyShardIsOwned() {
        mContext.fleet().awaitShardOwnership();
    }

    @When("a new instance {string} starts in region {string}")
    public void startInstance(String id, String region) {
        mContext.fleet().startInstance(id, region, 0);
    }

    @Then("the instance {string} reaches the revision of {string}")
    public void reachesRevision(String id, String otherId) {
        Fleet.await(
                "the revision at " + id,
                15_000,
                () -> mContext.fleet().revisionAt(id) >= mContext.fleet().revisionAt(otherId));
        assertTrue(mContext.fleet().revisionAt(id) > 0);
    }

    @When("{string} sends a continuous load")
    public void startLoad(String keyName) {
        mLoad = ContinuousLoad.start(mContext.fleet(), mContext.apiKey(keyName));
    }

    @When("the instances are replaced one by one")
    public void replaceInstancesOneByOne() {
        for (String id : mContext.fleet().instanceIds()) {
            String region = mContext.fleet().regionOf(id);
            String replacement = id + "-new";
            mContext.fleet().startInstance(replacement, region, 0);
            reachesRevision(replacement, id);
            mContext.fleet().process(id).terminate();
            exitsNormally(id);
        }
    }

    @Then("no request of the load was interrupted or rejected")
    public void loadHasNoFailures() {
        mLoad.stop();
        assertTrue(mLoad.successCount() > 100, "successful requests: " + mLoad.successCount());
        assertEquals(mLoad.failures(), List.of(), mLoad.failures().toString());
    }
}
