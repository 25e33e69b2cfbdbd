package org.filbertrudder.policy.tokens;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when the shares of a holder start to fill. */
public class TokenHolderTest {

    private static final RegionId REGION = RegionId.of("here");
    private static final TokenSettings SETTINGS = new TokenSettings(1, 0, 10_000, 1_000, 3_000);
    private static final long NOW_MS = 50_000;

    private TokenHolder mHolder;

    @BeforeMethod
    public void createHolder() {
        mHolder = new TokenHolder(REGION, SETTINGS, 0);
    }

    private static Configuration configuration() {
        List<Entity> entities =
                List.of(
                        new Region(REGION, List.of(FailureDomainId.of("d"))),
                        new Account(
                                AccountId.of("club"),
                                Contract.of(1_000, 4_000),
                                Set.of(),
                                Map.of()));
        return Configuration.of(1, "start", entities);
    }

    private double totalLevelAt(long nowMs) {
        return mHolder.accountStates(nowMs).stream()
                .mapToDouble(TokenHolder.AccountState::level)
                .sum();
    }

    @Test
    public void aShareFillsIfItsAccountIsConfiguredAfterItsShardWasAcquired() {
        mHolder.acquireUnowned(0, NOW_MS);
        mHolder.setConfiguration(configuration(), NOW_MS + 1_000);

        assertEquals(mHolder.accountStates(NOW_MS + 1_000).size(), 1);
        assertEquals(totalLevelAt(NOW_MS + 3_000), 2_000.0, 1.0);
    }

    @Test
    public void aShareTakenOverAfterAFailureFillsOnlyAfterItsLoansHaveEnded() {
        mHolder.acquireAfterFailure(0, NOW_MS);
        mHolder.setConfiguration(configuration(), NOW_MS + 1_000);

        assertEquals(totalLevelAt(NOW_MS + SETTINGS.lenderTermMs()), 0.0, 1.0);
        assertTrue(totalLevelAt(NOW_MS + SETTINGS.lenderTermMs() + 2_000) > 1_900);
    }
}
