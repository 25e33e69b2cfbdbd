package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@code bin/judge-tests} fails a run for each failure that is not listed as known. */
public class JudgeTestsTest {

    private static final Path JUDGE = Path.of("..", "bin", "judge-tests").toAbsolutePath();

    private Path mRoot;

    @BeforeMethod
    public void createBuildWithTwoModules() throws IOException {
        mRoot = Files.createTempDirectory("judge");
        Files.writeString(
                mRoot.resolve("pom.xml"),
                "<project xmlns='http://maven.apache.org/POM/4.0.0'><modules>"
                        + "<module>filbertrudder-a</module><module>platform</module>"
                        + "</modules></project>");
        Files.writeString(mRoot.resolve("known.txt"), "test: a.KnownTest.fails\n");
        for (String module : new String[] {"filbertrudder-a", "platform"}) {
            Path tests = Files.createDirectories(mRoot.resolve(module).resolve("src/test/java"));
            Files.writeString(tests.resolve("SomeTest.java"), "");
            writeReport(module, "a.SomeTest", "passes", "");
        }
    }

    private void writeReport(String module, String className, String test, String outcome)
            throws IOException {
        Path reports =
                Files.createDirectories(mRoot.resolve(module).resolve("target/surefire-reports"));
        Files.writeString(
                reports.resolve("TEST-" + className + ".xml"),
                "<testsuite><testcase classname='%s' name='%s'>%s</testcase></testsuite>"
                        .formatted(className, test, outcome));
    }

    private String judge(int mavenStatus, int expectedExitCode)
            throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                "python3",
                                JUDGE.toString(),
                                "known.txt",
                                Integer.toString(mavenStatus))
                        .directory(mRoot.toFile())
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), expectedExitCode, output);
        return output;
    }

    /** Lists the modules of the build. */
    @DataProvider
    public Object[][] modules() {
        return new Object[][] {{"filbertrudder-a"}, {"platform"}};
    }

    @Test(dataProvider = "modules")
    public void aFailureInAnyModuleFailsTheRun(String module)
            throws IOException, InterruptedException {
        writeReport(module, "a.OtherTest", "fails", "<failure/>");

        assertTrue(judge(0, 1).contains("FAILED: a.OtherTest.fails"));
    }

    @Test(dataProvider = "modules")
    public void aKnownFailureIsPrintedAndPassedOver(String module)
            throws IOException, InterruptedException {
        writeReport(module, "a.KnownTest", "fails", "<failure/>");

        assertTrue(judge(0, 0).contains("known red: a.KnownTest.fails"));
    }

    @Test(dataProvider = "modules")
    public void aModuleWithTestsButNoReportFailsTheRun(String module)
            throws IOException, InterruptedException {
        Files.delete(mRoot.resolve(module).resolve("target/surefire-reports/TEST-a.SomeTest.xml"));

        assertTrue(judge(0, 1).contains("the module " + module + " has tests but no report"));
    }

    @Test
    public void aSkippedTestOrAFailedBuildFailsTheRun() throws IOException, InterruptedException {
        judge(1, 1);
        writeReport("platform", "a.OtherTest", "skipped", "<skipped/>");
        judge(0, 1);
    }
}
