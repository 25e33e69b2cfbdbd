package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Step definitions for bookings and idempotency keys. */
public class BookingSteps {

    private final ScenarioContext mContext;

    public BookingSteps(ScenarioContext context) {
        mContext = context;
    }

    @When("{string} books {string} through {string} with idempotency key {string}")
    public void book(String keyName, String slot, String instance, String idempotencyKey) {
        mContext.setLastReply(
                mContext.fleet()
                        .sendBooking(instance, mContext.apiKey(keyName), slot, idempotencyKey)
                        .join());
    }

    @When("{string} starts booking {string} through {string} with idempotency key {string}")
    public void startBooking(String keyName, String slot, String instance, String idempotencyKey) {
        mContext.fleet().sendBooking(instance, mContext.apiKey(keyName), slot, idempotencyKey);
        Fleet.await(
                "the execution of booking " + slot,
                ScenarioContext.REQUEST_START_TIMEOUT_MS,
                () -> mContext.fleet().endpoints().bookingExecutions(slot) > 0);
    }

    @When("{string} books {string} through {string} with idempotency key {string} and disconnects")
    public void startBookingAndDisconnect(
            String keyName, String slot, String instance, String idempotencyKey) {
        int port = mContext.fleet().process(instance).port("callers");
        String body = "{\"slot\":\"" + slot + "\"}";
        String request =
                "POST /services/"
                        + mContext.fleet().deployment().plainServiceId()
                        + "/bookings HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
                        + "authorization: Bearer "
                        + mContext.apiKey(keyName)
                        + "\r\nidempotency-key: "
                        + idempotencyKey
                        + "\r\ncontent-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        RawTcpClient.sendAndDisconnect(
                port,
                request,
                () ->
                        Fleet.await(
                                "the execution of booking " + slot,
                                ScenarioContext.REQUEST_START_TIMEOUT_MS,
                                () -> mContext.fleet().endpoints().bookingExecutions(slot) > 0));
    }

    @Given("booking endpoints respond after {int} ms")
    public void setBookingDelay(int delayMs) {
        mContext.fleet().endpoints().setBookingBehaviour("{\"delayMs\":" + delayMs + "}");
    }

    @When("{string} books {string} through {string} without an idempotency key")
    public void bookWithoutIdempotencyKey(String keyName, String slot, String instance) {
        mContext.setLastReply(
                mContext.fleet()
                        .sendBooking(instance, mContext.apiKey(keyName), slot, null)
                        .join());
    }

    @When("{string} books {string} through all instances at once with idempotency key {string}")
    public void bookThroughAllInstances(String keyName, String slot, String idempotencyKey) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (String id : mContext.fleet().instanceIds()) {
            replies.add(
                    mContext.fleet()
                            .sendBooking(id, mContext.apiKey(keyName), slot, idempotencyKey));
        }
        replies.forEach(CompletableFuture::join);
        mContext.setLastReply(replies.get(0).join());
        mContext.setConcurrentReply(replies.get(1).join());
    }

    @Then("both responses are identical")
    public void responsesAreIdentical() {
        assertEquals(mContext.concurrentReply().body(), mContext.lastReply().body());
        assertEquals(mContext.lastReply().status(), 201, mContext.lastReply().body());
    }

    @Then("the booking {string} was executed {int} time(s)")
    public void bookingWasExecuted(String slot, int expectedExecutions) {
        assertEquals(mContext.fleet().endpoints().bookingExecutions(slot), expectedExecutions);
    }

    @Then("the booking is created")
    public void bookingIsCreated() {
        assertEquals(mContext.lastReply().status(), 201, mContext.lastReply().body());
    }

    @Given("booking endpoints drop the connection {word} execution")
    public void dropBookingConnections(String executionPhase) {
        mContext.fleet()
                .endpoints()
                .setBookingBehaviour("{\"breakAt\":\"" + executionPhase + "\"}");
    }

    @Given("booking endpoints are unavailable for {int} ms")
    public void stopBookingEndpoints(int durationMs) {
        mContext.fleet().endpoints().stopBookingEndpoints(durationMs);
    }

    @Given("booking endpoints respond normally again")
    public void restoreBookingEndpoints() {
        mContext.fleet().endpoints().setBookingBehaviour("{}");
    }

    @Then("the store holds {int} leased key(s)")
    public void storeHoldsLeasedKeys(int keys) {
        assertEquals(mContext.fleet().platform().storeCallStats().path("leasedKeys").asInt(), keys);
    }
}
