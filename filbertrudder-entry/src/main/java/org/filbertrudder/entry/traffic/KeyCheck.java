package org.filbertrudder.entry.traffic;

import org.filbertrudder.model.Account;
import org.filbertrudder.model.ApiKey;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.KeyId;

/** Recognises callers by their keys, which look like {@code fr.ID.SECRET}. */
public final class KeyCheck {

    private static final String SCHEME = "Bearer ";
    private static final String PREFIX = "fr.";

    private KeyCheck() {}

    /** Returns the key's text as the caller shows it. */
    public static String format(KeyId id, String secret) {
        return PREFIX + id + "." + secret;
    }

    /**
     * Returns whose key an Authorization header carries.
     *
     * @throws RefusedException if there is no valid key
     */
    static Identity check(String authorization, Configuration configuration) {
        if (authorization == null) {
            throw new RefusedException(Refusal.keyMissing());
        }
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw new RefusedException(Refusal.keyMissing());
        }
        String key = authorization.substring(SCHEME.length()).trim();
        int dot = key.lastIndexOf('.');
        if (!key.startsWith(PREFIX) || dot <= PREFIX.length()) {
            throw new RefusedException(Refusal.keyInvalid());
        }
        String id = key.substring(PREFIX.length(), dot);
        String secret = key.substring(dot + 1);
        return find(id, secret, configuration);
    }

    private static Identity find(String id, String secret, Configuration configuration) {
        ApiKey found;
        try {
            found = configuration.apiKey(KeyId.of(id)).orElse(null);
        } catch (InvalidValueException e) {
            throw new RefusedException(Refusal.keyInvalid());
        }
        if (found == null || !Digests.matches(secret, found.secretSha256())) {
            throw new RefusedException(Refusal.keyInvalid());
        }
        Account account =
                configuration
                        .account(found.account())
                        .orElseThrow(() -> new RefusedException(Refusal.keyInvalid()));
        return new Identity(account, found.id(), secret);
    }

    /**
     * Names the caller.
     *
     * @param account the client account that the key belongs to
     * @param key the key's id
     * @param secret the secret part, which must reach no endpoint
     */
    record Identity(Account account, KeyId key, String secret) {

        @Override
        public String toString() {
            return "Identity[" + account.id() + "]";
        }
    }
}
