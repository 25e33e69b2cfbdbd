package org.filbertrudder.measure;

import java.util.List;
import java.util.stream.Stream;
import org.filbertrudder.measure.SharedPartsTraffic.Burst;
import org.filbertrudder.measure.SharedPartsTraffic.Kind;
import org.filbertrudder.measure.SharedPartsTraffic.Level;

/** Lists traffic and events of a fleet of engines that shared parts of prompts meet. */
enum SharedPartsPattern {
    /** Three kinds of requests at a rate that the fleet serves. */
    CALM(usual(1.5), Burst.NONE, Change.NONE),

    /** Three times the rate for some seconds. */
    BURST(usual(1.5), new Burst(8_000, 16_000, 3), Change.NONE),

    /** One part whose requests need the reading speed of several engines. */
    HOT_PART(with(usual(0.5), hotPart()), Burst.NONE, Change.NONE),

    /** Thousands of parts, of which most have few requests. */
    RARE_PARTS(with(usual(0.5), rareParts()), Burst.NONE, Change.NONE),

    /** Parts within parts. */
    TREES(with(usual(0.5), trees()), Burst.NONE, Change.NONE),

    /** Engines that end what they run and do not come back. */
    LEAVING(usual(1.5), Burst.NONE, Change.LEAVING),

    /** Engines that leave and come back with empty caches. */
    COLD_RETURN(usual(1.5), Burst.NONE, Change.COLD_RETURN),

    /** Engines that ask for a pause, during which they get no requests. */
    PAUSE(usual(1.5), Burst.NONE, Change.PAUSE),

    /** Engines that become three times slower than the others. */
    SLOW(usual(1.5), Burst.NONE, Change.SLOW);

    static final double UNTIL_MS = 24_000;

    private final List<Kind> mKinds;
    private final Burst mBurst;
    private final Change mChange;

    SharedPartsPattern(List<Kind> kinds, Burst burst, Change change) {
        mKinds = kinds;
        mBurst = burst;
        mChange = change;
    }

    /** Lists what happens to some engines. */
    enum Change {
        NONE,
        LEAVING,
        COLD_RETURN,
        PAUSE,
        SLOW
    }

    Change change() {
        return mChange;
    }

    /** Records the requests of the pattern. */
    List<RecordedPrompt> record(int deciders, long seed) {
        return SharedPartsTraffic.record(mKinds, mBurst, UNTIL_MS, deciders, seed);
    }

    private static List<Kind> usual(double load) {
        return List.of(
                new Kind(
                        "digest",
                        11.8 * load,
                        List.of(new Level(3, 512), new Level(23, 4_870)),
                        1_228,
                        340,
                        1_200,
                        12_000),
                new Kind(
                        "chat",
                        35 * load,
                        List.of(new Level(40, 119), new Level(4, 79)),
                        430,
                        227,
                        1_500,
                        10_000),
                new Kind(
                        "label",
                        18.8 * load,
                        List.of(new Level(40, 341), new Level(4, 227)),
                        1_232,
                        20,
                        2_500,
                        3_000));
    }

    private static List<Kind> with(List<Kind> kinds, Kind kind) {
        return Stream.concat(kinds.stream(), Stream.of(kind)).toList();
    }

    private static Kind hotPart() {
        return new Kind("hot", 70, List.of(new Level(1, 6_000)), 2_500, 40, 1_200, 10_000);
    }

    private static Kind rareParts() {
        return new Kind("rare", 25, List.of(new Level(2_000, 3_000)), 600, 150, 1_200, 10_000);
    }

    private static Kind trees() {
        return new Kind(
                "tree",
                30,
                List.of(new Level(4, 2_000), new Level(6, 2_000), new Level(6, 2_000)),
                600,
                150,
                1_200,
                10_000);
    }
}
