package org.filbertrudder.measure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the results of the simulated experiments meet their targets and are reproducible. */
public class ExperimentsTest {

    private static final List<String> ACCOUNTS_WITHIN_RATE =
            List.of("large", "medium", "small", "youth");
    private static final double MIN_SERVED_SHARE = 0.95;
    private static final double MAX_SLOWDOWN = 1.5;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    @Test(dataProvider = "seeds")
    public void protectsAccountsWithinTheirRateFromAnOverload(long seed) {
        Table table = new FairnessExperiment().run(seed);

        Map<String, Double> servedShare = columnByRow(table, "served_share");
        Map<String, Double> firstTokenMs = columnByRow(table, "first_token_p99_ms");
        for (String rule : List.of("wait 10000 ms", "wait 2000 ms")) {
            for (String account : ACCOUNTS_WITHIN_RATE) {
                String overloadRow = rule + "/CONTRACT_AND_FAIR/5x/" + account;
                String regularRow = rule + "/CONTRACT_AND_FAIR/1x/" + account;
                assertTrue(servedShare.get(overloadRow) >= MIN_SERVED_SHARE, overloadRow);
                assertTrue(
                        firstTokenMs.get(overloadRow)
                                <= MAX_SLOWDOWN * firstTokenMs.get(regularRow),
                        overloadRow
                                + ": "
                                + firstTokenMs.get(overloadRow)
                                + " / "
                                + firstTokenMs.get(regularRow));
            }
        }
    }

    private static Map<String, Double> columnByRow(Table table, String name) {
        int index = table.columns().indexOf(name);
        Map<String, Double> values = new HashMap<>();
        for (List<String> row : table.rows()) {
            values.put(String.join("/", row.subList(0, 4)), Double.parseDouble(row.get(index)));
        }
        return values;
    }

    @Test
    public void routerHasMoreCacheHitsThanTheBaselinesAtEveryLoad() {
        Table table = new RoutingExperiment().run(1);

        Map<String, Double> cacheHits = new HashMap<>();
        table.rows()
                .forEach(
                        row ->
                                cacheHits.put(
                                        row.get(0) + row.get(2) + row.get(1),
                                        parseNumber(row.get(3))));
        for (String load : List.of("0.500", "0.800", "0.950")) {
            for (String cacheState : List.of("WARM", "EMPTIED")) {
                double router = cacheHits.get(load + cacheState + "AFFINITY_AND_EVENTS");
                for (String baseline : List.of("RANDOM", "LEAST_LOADED", "AFFINITY")) {
                    assertTrue(
                            router > cacheHits.get(load + cacheState + baseline), load + baseline);
                }
            }
        }
    }

    private static double parseNumber(String text) {
        return Double.parseDouble(text);
    }

    @Test
    public void producesTheSameResultsForTheSameSeed() {
        assertEquals(
                new RoutingExperiment().run(7).toCsv(), new RoutingExperiment().run(7).toCsv());
        assertEquals(
                new FairnessExperiment().run(7).toCsv(), new FairnessExperiment().run(7).toCsv());
    }

    @Test
    public void drawsNumericColumns() {
        Table table = new Table("choice", "hits");
        table.add("random", 0.45);
        table.add("router", 0.83);

        assertEquals(BarChart.numericColumns(table), List.of("hits"));
        String svg = BarChart.toSvg("routing", table, "hits");
        assertTrue(svg.contains("<svg"), svg);
        assertTrue(svg.contains("2: router"), svg);
    }
}
