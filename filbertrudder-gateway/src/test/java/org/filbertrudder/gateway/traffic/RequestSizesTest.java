package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;

import org.filbertrudder.gateway.traffic.RequestSizes.SizeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the classification of requests by size. */
public class RequestSizesTest {

    private static final String ROUTE = "chat";

    @DataProvider
    private static Object[][] sizes() {
        return new Object[][] {
            {1, SizeClass.SMALLER},
            {69, SizeClass.SMALLER},
            {71, SizeClass.NEXT_FIFTH},
            {89, SizeClass.NEXT_FIFTH},
            {91, SizeClass.LARGEST_TENTH},
            {5_000, SizeClass.LARGEST_TENTH},
        };
    }

    @Test(dataProvider = "sizes")
    public void comparesARequestWithTheRecentOnesOfItsRoute(long size, SizeClass expected) {
        RequestSizes requestSizes = new RequestSizes();
        for (int i = 0; i < 1_600; i++) {
            requestSizes.classify(ROUTE, i % 100);
            requestSizes.classify("other", 10_000);
        }

        assertEquals(requestSizes.classify(ROUTE, size), expected);
    }

    @Test
    public void callsNoRequestLargeBeforeThereAreOthersToCompareWith() {
        assertEquals(new RequestSizes().classify(ROUTE, 1_000_000), SizeClass.SMALLER);
    }
}
