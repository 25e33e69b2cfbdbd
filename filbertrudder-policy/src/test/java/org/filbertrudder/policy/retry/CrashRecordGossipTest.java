package org.filbertrudder.policy.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.SuspectRequests.Decision;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that instances which start, in any order, learn which requests crash endpoints. */
public class CrashRecordGossipTest {

    private static final int MAX_REQUESTS = 1_000;
    private static final int MAX_CRASHES = 3;
    private static final long RETENTION_MS = 3_600_000;
    private static final long TICK_MS = 100;
    private static final long MAX_LATENCY_MS = 400;
    private static final RequestDigest CRASHING = new RequestDigest(AccountId.of("club"), "bad");
    private static final RequestDigest SOUND = new RequestDigest(AccountId.of("club"), "sound");

    /** An instance, or the instance that takes its place after a restart. */
    private static final class Instance {

        private final InstanceId mId;
        private final SuspectRequests mRequests =
                new SuspectRequests(MAX_REQUESTS, RETENTION_MS, MAX_CRASHES);
        private final CrashRecordGossip mGossip;

        Instance(InstanceId id) {
            mId = id;
            mGossip = new CrashRecordGossip(id, mRequests);
        }
    }

    /** A message on its way; it is dropped if its receiver has been replaced. */
    private record Delivery(
            long atMs, Instance from, Instance to, PeerMessage.CrashRecords message) {}

    /** A fleet on a virtual clock, whose messages are late, lost and repeated. */
    private static final class Fleet {

        private final Random mRandom;
        private final List<Instance> mInstances = new ArrayList<>();
        private final List<Delivery> mInFlight = new ArrayList<>();
        private final boolean mLosesMessages;
        private long mNowMs = 1;

        Fleet(long seed, int size, boolean losesMessages) {
            mRandom = new Random(seed);
            mLosesMessages = losesMessages;
            for (int i = 0; i < size; i++) {
                mInstances.add(new Instance(InstanceId.of("i-" + i)));
            }
        }

        private void runFor(long ms) {
            for (long untilMs = mNowMs + ms; mNowMs < untilMs; mNowMs += TICK_MS) {
                List.copyOf(mInFlight).stream()
                        .filter(delivery -> delivery.atMs() <= mNowMs)
                        .forEach(this::deliver);
                mInstances.forEach(this::tick);
            }
        }

        private void deliver(Delivery delivery) {
            mInFlight.remove(delivery);
            if (mInstances.contains(delivery.to())) {
                delivery.to()
                        .mGossip
                        .handle(delivery.from().mId, delivery.message(), mNowMs)
                        .ifPresent(answer -> send(delivery.to(), delivery.from(), answer));
            }
        }

        private void tick(Instance instance) {
            Set<InstanceId> others = new HashSet<>();
            mInstances.forEach(each -> others.add(each.mId));
            others.remove(instance.mId);
            Optional<CrashRecordGossip.Send> send = instance.mGossip.tick(others, mNowMs);
            send.ifPresent(each -> send(instance, find(each.to()), each.message()));
        }

        private Instance find(InstanceId id) {
            return mInstances.stream().filter(each -> each.mId.equals(id)).findFirst().get();
        }

        private void send(Instance from, Instance to, PeerMessage.CrashRecords message) {
            int copies = mLosesMessages ? mRandom.nextInt(3) : 1;
            for (int i = 0; i < copies; i++) {
                long atMs = mNowMs + 1 + mRandom.nextInt((int) MAX_LATENCY_MS);
                mInFlight.add(new Delivery(atMs, from, to, message));
            }
        }

        private void replace(int index) {
            mInstances.set(index, new Instance(mInstances.get(index).mId));
        }

        private void awaitInformed(int index) {
            while (!mInstances.get(index).mGossip.isInformed()) {
                runFor(TICK_MS);
            }
        }

        private void crash(Instance reporter, RequestDigest request, int endpoint) {
            reporter.mRequests.recordCrash(
                    new PeerMessage.CrashReport(
                            request.account(),
                            request.bodySha256(),
                            EndpointId.of("e-" + endpoint),
                            mNowMs,
                            false),
                    mNowMs);
        }

        private Decision decision(int index, RequestDigest request) {
            return mInstances.get(index).mRequests.decisionFor(request, mNowMs);
        }

        private void assertRefusedBy(int index) {
            assertEquals(decision(index, CRASHING), Decision.REFUSED, "instance " + index);
        }
    }

    /** Lists seeds and numbers of instances. */
    @DataProvider
    public Object[][] schedules() {
        int[] sizes = {2, 3, 6, 30, 95};
        return IntStream.rangeClosed(1, 50)
                .mapToObj(seed -> new Object[] {(long) seed, sizes[seed % sizes.length]})
                .toArray(Object[][]::new);
    }

    private static Fleet refusingFleet(long seed, int size, boolean losesMessages) {
        Fleet fleet = new Fleet(seed, size, losesMessages);
        fleet.runFor(2_000);
        for (int crash = 0; crash < MAX_CRASHES; crash++) {
            for (Instance each : fleet.mInstances) {
                fleet.crash(each, CRASHING, crash);
            }
        }
        return fleet;
    }

    /** Guards against instances that send a request again because they were replaced in turn. */
    @Test(dataProvider = "schedules")
    public void instancesReplacedInTurnForgetARequest(long seed, int size) {
        Fleet fleet = refusingFleet(seed, size, false);

        for (int i = 0; i < size; i++) {
            fleet.replace(i);
            fleet.awaitInformed(i);
            fleet.assertRefusedBy(i);
        }
    }

    /** Guards against two instances that start at once and inform each other of nothing. */
    @Test(dataProvider = "schedules")
    public void instancesReplacedInPairsForgetARequest(long seed, int size) {
        int informed = Math.max(3, size);
        Fleet fleet = refusingFleet(seed, informed, false);

        for (int i = 0; i + 1 < informed; i += 2) {
            fleet.replace(i);
            fleet.replace(i + 1);
            fleet.awaitInformed(i);
            fleet.awaitInformed(i + 1);
            fleet.assertRefusedBy(i);
            fleet.assertRefusedBy(i + 1);
        }
    }

    /** Guards against instances that never learn what was reported while messages were lost. */
    @Test(dataProvider = "schedules")
    public void lostMessagesLeaveInstancesUninformed(long seed, int size) {
        Fleet fleet = new Fleet(seed, size, true);
        fleet.runFor(2_000);
        for (int crash = 0; crash < MAX_CRASHES; crash++) {
            Instance reporter = fleet.mInstances.get(fleet.mRandom.nextInt(size));
            fleet.crash(reporter, CRASHING, crash);
        }

        fleet.runFor(120_000);

        for (int i = 0; i < size; i++) {
            fleet.assertRefusedBy(i);
        }
    }

    /** Guards against a sound request that replaced instances refuse, as reports come again. */
    @Test(dataProvider = "schedules")
    public void answeredRequestIsRefusedByReplacedInstances(long seed, int size) {
        Fleet fleet = new Fleet(seed, size, true);
        fleet.runFor(2_000);
        for (int crash = 0; crash < 2 * MAX_CRASHES; crash++) {
            Instance reporter = fleet.mInstances.get(fleet.mRandom.nextInt(size));
            fleet.crash(reporter, SOUND, crash);
            reporter.mRequests.recordAnswer(SOUND, fleet.mNowMs);
            fleet.runFor(60_000);
            fleet.replace(fleet.mRandom.nextInt(size));
        }
        fleet.runFor(60_000);

        for (int i = 0; i < size; i++) {
            assertFalse(fleet.decision(i, SOUND) == Decision.REFUSED, "instance " + i);
        }
    }

    /** Guards against a start that waits for instances which do not reply. */
    @Test
    public void instanceWaitsForOthersThatDoNotReply() {
        Instance instance = new Instance(InstanceId.of("i-0"));
        instance.mGossip.tick(Set.of(InstanceId.of("silent")), 1);
        assertFalse(instance.mGossip.isInformed());

        instance.mGossip.tick(
                Set.of(InstanceId.of("silent")), 1 + CrashRecordGossip.START_TIMEOUT_MS);

        assertTrue(instance.mGossip.isInformed());
    }

    /** Guards against a refused request that is forgotten as many others ran in crashes. */
    @Test
    public void otherRequestsInCrashesDisplaceARefusedOne() {
        Fleet fleet = refusingFleet(1, 2, false);
        for (int i = 0; i < 2 * MAX_REQUESTS; i++) {
            fleet.crash(
                    fleet.mInstances.get(0),
                    new RequestDigest(AccountId.of("hostile"), "body-" + i),
                    i);
        }
        fleet.assertRefusedBy(0);

        fleet.replace(1);
        fleet.awaitInformed(1);

        fleet.assertRefusedBy(1);
        List<CrashRecord> records =
                fleet.mInstances.get(0).mRequests.records(CrashRecordGossip.MAX_RECORDS, 1);
        assertEquals(records.size(), CrashRecordGossip.MAX_RECORDS);
    }
}
