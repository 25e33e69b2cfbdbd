package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs seeds of the soak with failing connections; {@code bin/soak-forwards} runs more. */
public class ForwardSoakTest {

    private static final int INSTANCES = 4;
    private static final int SECONDS = 20;

    /** Lists the seeds. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}};
    }

    @Test(dataProvider = "seeds")
    public void answersAreLostWithTheConnectionsOfForwards(long seed) throws IOException {
        LimitSoak.Report report =
                ForwardSoak.run(
                        new LimitSoak.Options(
                                seed, INSTANCES, SECONDS, Files.createTempDirectory("soak")));

        assertEquals(report.violations(), List.of(), report.toString());
        assertTrue(report.statuses().getOrDefault(200, 0) > 0, report.statuses().toString());
    }
}
