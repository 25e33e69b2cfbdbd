package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs two seeds of the soak with stated limits; {@code bin/soak-limits} runs more. */
public class LimitSoakTest {

    private static final int INSTANCES = 3;
    private static final int SECONDS = 25;

    /** Lists the seeds. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{101L}, {102L}};
    }

    @Test(dataProvider = "seeds")
    public void processesExceedAStatedLimitAmidRestartsAndOutages(long seed) throws IOException {
        LimitSoak.Report report =
                LimitSoak.run(
                        new LimitSoak.Options(
                                seed, INSTANCES, SECONDS, Files.createTempDirectory("soak")));

        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.statuses().getOrDefault(200, 0) > 0, report.statuses().toString());
        assertTrue(report.stops().containsKey("WHOLE 200"), report.stops().toString());
    }
}
