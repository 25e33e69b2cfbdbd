package org.filbertrudder.measure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Holds the experiments to the stated targets. */
public class ExperimentsTest {

    private static final List<String> INSIDE_THEIR_RATE =
            List.of("large", "medium", "small", "youth");
    private static final double LEAST_GOODPUT = 0.95;
    private static final double MOST_SLOWDOWN = 1.5;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    @Test(dataProvider = "seeds")
    public void aFloodDoesNotReachTheAccountsInsideTheirRate(long seed) {
        Table table = new FairnessExperiment().run(seed);

        Map<String, Double> served = column(table, "served_share");
        Map<String, Double> firstToken = column(table, "first_token_p99_ms");
        for (String rule : List.of("wait 10000 ms", "wait 2000 ms")) {
            for (String account : INSIDE_THEIR_RATE) {
                String flooded = rule + "/CONTRACT_AND_FAIR/5x/" + account;
                String calm = rule + "/CONTRACT_AND_FAIR/1x/" + account;
                assertTrue(served.get(flooded) >= LEAST_GOODPUT, flooded);
                assertTrue(
                        firstToken.get(flooded) <= MOST_SLOWDOWN * firstToken.get(calm),
                        flooded + ": " + firstToken.get(flooded) + " / " + firstToken.get(calm));
            }
        }
    }

    private static Map<String, Double> column(Table table, String name) {
        int index = table.columns().indexOf(name);
        Map<String, Double> values = new HashMap<>();
        for (List<String> row : table.rows()) {
            values.put(String.join("/", row.subList(0, 4)), Double.parseDouble(row.get(index)));
        }
        return values;
    }

    @Test
    public void theRouterHitsCachesMoreOftenThanTheBaselinesAtEveryLoad() {
        Table table = new RoutingExperiment().run(1);

        Map<String, Double> hits = new HashMap<>();
        table.rows()
                .forEach(row -> hits.put(row.get(0) + row.get(2) + row.get(1), number(row.get(3))));
        for (String load : List.of("0.500", "0.800", "0.950")) {
            for (String caches : List.of("WARM", "EMPTIED")) {
                double router = hits.get(load + caches + "AFFINITY_AND_EVENTS");
                for (String baseline : List.of("RANDOM", "LEAST_LOADED", "AFFINITY")) {
                    assertTrue(router > hits.get(load + caches + baseline), load + baseline);
                }
            }
        }
    }

    private static double number(String text) {
        return Double.parseDouble(text);
    }

    @Test
    public void theSameSeedPrintsTheSameFigures() {
        assertEquals(
                new RoutingExperiment().run(7).toCsv(), new RoutingExperiment().run(7).toCsv());
        assertEquals(
                new FairnessExperiment().run(7).toCsv(), new FairnessExperiment().run(7).toCsv());
    }

    @Test
    public void drawsEachColumnOfFigures() {
        Table table = new Table("choice", "hits");
        table.add("random", 0.45);
        table.add("router", 0.83);

        assertEquals(Plot.plottable(table), List.of("hits"));
        String drawing = Plot.draw("routing", table, "hits");
        assertTrue(drawing.contains("<svg"), drawing);
        assertTrue(drawing.contains("2: router"), drawing);
    }
}
