package org.filbertrudder.policy.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;

/** Holds reports of a failure that this instance's own observations contradict. */
final class HeldReports {

    private final Map<InstanceId, Report> mReports = new TreeMap<>();

    /** Holds a report and returns whether it says more than the one held before. */
    boolean hold(Member claim, InstanceId reporter) {
        Report held = mReports.get(claim.id());
        if (held != null && !claim.supersedes(held.claim())) {
            return false;
        }
        mReports.put(claim.id(), new Report(claim, reporter));
        return true;
    }

    /** Returns what is claimed about a member; empty if nothing is held. */
    Optional<Member> claim(InstanceId id) {
        return Optional.ofNullable(mReports.get(id)).map(Report::claim);
    }

    /** Drops the report about a member unless it supersedes the member's record. */
    void dropIfOutdated(Member stored) {
        Report held = mReports.get(stored.id());
        if (held != null && !held.claim().supersedes(stored)) {
            mReports.remove(stored.id());
        }
    }

    /** Drops the report about a member. */
    void drop(InstanceId id) {
        mReports.remove(id);
    }

    /** Removes and returns the reports about those members that the condition holds for. */
    List<Report> takeIf(Predicate<InstanceId> condition) {
        List<Report> taken = new ArrayList<>();
        for (InstanceId id : List.copyOf(mReports.keySet())) {
            if (condition.test(id)) {
                taken.add(mReports.remove(id));
            }
        }
        return taken;
    }

    /**
     * A report about a member.
     *
     * @param claim the member's record according to the reporter
     * @param reporter the instance that sent it
     */
    record Report(Member claim, InstanceId reporter) {}
}
