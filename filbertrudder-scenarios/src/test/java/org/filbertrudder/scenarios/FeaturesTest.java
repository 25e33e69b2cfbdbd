package org.filbertrudder.scenarios;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the Cucumber scenarios under src/test/resources/features. */
@CucumberOptions(
        features = "src/test/resources/features",
        glue = "org.filbertrudder.scenarios",
        publish = false)
public class FeaturesTest extends AbstractTestNGCucumberTests {}
