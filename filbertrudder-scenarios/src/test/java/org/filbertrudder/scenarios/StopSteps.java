package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;

/** Gives the scenarios their steps about stopping and replacing instances. */
public class StopSteps {

    private final World mWorld;
    private SteadyLoad mLoad;

    public StopSteps(World world) {
        mWorld = world;
    }

    @Given("contracts {int} times as large")
    public void raiseContracts(int factor) {
        mWorld.fleet().raiseContracts(factor);
    }

    @When("the instance {string} is killed")
    public void kill(String id) {
        mWorld.fleet().process(id).kill();
        mWorld.fleet().platform().removeLive(id);
    }

    @When("the instance {string} is told to stop")
    public void terminate(String id) {
        mWorld.fleet().process(id).terminate();
    }

    @Then("the instance {string} ends by itself")
    public void endsByItself(String id) {
        int code = mWorld.fleet().process(id).awaitEnd(30_000);
        mWorld.fleet().platform().removeLive(id);
        assertEquals(code, 0, "exit code");
    }

    @Then("every shard gets a holder that runs")
    public void everyShardHeld() {
        mWorld.fleet().awaitShards();
    }

    @When("a new instance {string} starts in {string}")
    public void startInstance(String id, String region) {
        mWorld.fleet().startEntry(id, region, 0);
    }

    @Then("the instance {string} reaches the revision of {string}")
    public void reachesRevision(String id, String other) {
        Fleet.await(
                "the revision at " + id,
                15_000,
                () -> mWorld.fleet().revisionAt(id) >= mWorld.fleet().revisionAt(other));
        assertTrue(mWorld.fleet().revisionAt(id) > 0);
    }

    @When("{string} sends a steady load")
    public void startLoad(String key) {
        mLoad = SteadyLoad.start(mWorld.fleet(), mWorld.key(key));
    }

    @When("every instance is replaced in turn")
    public void replaceAll() {
        for (String id : mWorld.fleet().entries()) {
            String region = mWorld.fleet().regionOf(id);
            String replacement = id + "-new";
            mWorld.fleet().startEntry(replacement, region, 0);
            reachesRevision(replacement, id);
            mWorld.fleet().process(id).terminate();
            endsByItself(id);
        }
    }

    @Then("no request of the load was cut or refused")
    public void loadIsWhole() {
        mLoad.stop();
        assertTrue(mLoad.answered() > 100, "answered " + mLoad.answered());
        assertEquals(mLoad.failures(), List.of(), mLoad.failures().toString());
    }
}
