package org.filbertrudder.model;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a restriction to no region differs from no restriction. */
public class AllowedRegionsTest {

    private static AllowedRegions only(String... names) {
        return AllowedRegions.only(Stream.of(names).map(RegionId::of).toList());
    }

    /** Provides two restrictions and what both allow, as text. */
    @DataProvider
    public Object[][] intersections() {
        return new Object[][] {
            {AllowedRegions.any(), AllowedRegions.any(), "any"},
            {AllowedRegions.any(), only("sag", "mtl"), "[mtl, sag]"},
            {AllowedRegions.any(), only(), "[]"},
            {only("sag", "mtl"), only("gas", "sag"), "[sag]"},
            {only("mtl"), only("sag"), "[]"},
        };
    }

    /** Guards against an empty intersection that is read as any region. */
    @Test(dataProvider = "intersections")
    public void nothingInCommonIsNotAny(AllowedRegions one, AllowedRegions other, String both) {
        AllowedRegions common = one.and(other);

        assertEquals(common.toString(), both);
        assertEquals(other.and(one), common);
        assertEquals(common.isAny(), both.equals("any"));
        assertEquals(common.allowsNone(), both.equals("[]"));
        for (RegionId region : List.of(RegionId.of("mtl"), RegionId.of("sag"))) {
            assertEquals(common.allows(region), one.allows(region) && other.allows(region));
        }
    }
}
