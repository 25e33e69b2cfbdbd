package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Gives the scenarios their steps about bookings. */
public class BookingSteps {

    private final World mWorld;

    public BookingSteps(World world) {
        mWorld = world;
    }

    @When("{string} books {string} at {string} with idempotency key {string}")
    public void book(String key, String slot, String instance, String idempotencyKey) {
        mWorld.setReply(
                mWorld.fleet().book(instance, mWorld.key(key), slot, idempotencyKey).join());
    }

    @When("{string} starts to book {string} at {string} with idempotency key {string}")
    public void startBooking(String key, String slot, String instance, String idempotencyKey) {
        mWorld.fleet().book(instance, mWorld.key(key), slot, idempotencyKey);
        Fleet.await(
                "the run of " + slot,
                World.START_TIMEOUT_MS,
                () -> mWorld.fleet().endpoints().runsOf(slot) > 0);
    }

    @When("{string} starts to book {string} at {string} with idempotency key {string} and leaves")
    public void startBookingAndLeave(
            String key, String slot, String instance, String idempotencyKey) {
        int port = mWorld.fleet().process(instance).port("callers");
        String body = "{\"slot\":\"" + slot + "\"}";
        String request =
                "POST /services/"
                        + mWorld.fleet().deployment().plainService()
                        + "/bookings HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
                        + "authorization: Bearer "
                        + mWorld.key(key)
                        + "\r\nidempotency-key: "
                        + idempotencyKey
                        + "\r\ncontent-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        RawConnection.sendAndLeave(
                port,
                request,
                () ->
                        Fleet.await(
                                "the run of " + slot,
                                World.START_TIMEOUT_MS,
                                () -> mWorld.fleet().endpoints().runsOf(slot) > 0));
    }

    @Given("booking endpoints take {int} ms")
    public void slowBookings(int delayMs) {
        mWorld.fleet().endpoints().bookingBehaviour("{\"delayMs\":" + delayMs + "}");
    }

    @When("{string} books {string} at {string} without idempotency key")
    public void bookOnce(String key, String slot, String instance) {
        mWorld.setReply(mWorld.fleet().book(instance, mWorld.key(key), slot, null).join());
    }

    @When("{string} books {string} at all instances at once with idempotency key {string}")
    public void bookEverywhere(String key, String slot, String idempotencyKey) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (String id : mWorld.fleet().entries()) {
            replies.add(mWorld.fleet().book(id, mWorld.key(key), slot, idempotencyKey));
        }
        replies.forEach(CompletableFuture::join);
        mWorld.setReply(replies.get(0).join());
        mWorld.setOtherReply(replies.get(1).join());
    }

    @Then("both answers are the same")
    public void answersAreTheSame() {
        assertEquals(mWorld.otherReply().body(), mWorld.reply().body());
        assertEquals(mWorld.reply().status(), 201, mWorld.reply().body());
    }

    @Then("the booking {string} has run {int} time(s)")
    public void bookingHasRun(String slot, int runs) {
        assertEquals(mWorld.fleet().endpoints().runsOf(slot), runs);
    }

    @Then("the booking is accepted")
    public void bookingIsAccepted() {
        assertEquals(mWorld.reply().status(), 201, mWorld.reply().body());
    }

    @Given("booking endpoints break the connection {word} the run")
    public void breakBookings(String when) {
        mWorld.fleet().endpoints().bookingBehaviour("{\"breakAt\":\"" + when + "\"}");
    }

    @Given("booking endpoints are down for {int} ms")
    public void stopBookings(int forMs) {
        mWorld.fleet().endpoints().bookingsDown(forMs);
    }

    @Given("booking endpoints work again")
    public void mendBookings() {
        mWorld.fleet().endpoints().bookingBehaviour("{}");
    }

    @Then("the store holds {int} key(s) under a lease")
    public void leasedKeys(int keys) {
        assertEquals(mWorld.fleet().platform().storeCalls().path("leasedKeys").asInt(), keys);
    }
}
