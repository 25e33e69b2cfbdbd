package org.filbertrudder.entry.traffic;

import org.filbertrudder.model.Account;
import org.filbertrudder.model.ApiKey;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.KeyId;

/** Authenticates callers by their API keys, which have the form {@code fr.ID.SECRET}. */
public final class ApiKeyAuthenticator {

    private static final String SCHEME = "Bearer ";
    private static final String KEY_PREFIX = "fr.";

    private ApiKeyAuthenticator() {}

    /** Returns the API key in the form that the caller sends. */
    public static String format(KeyId id, String secret) {
        return KEY_PREFIX + id + "." + secret;
    }

    /**
     * Returns the caller whose API key the Authorization header carries.
     *
     * @throws RefusedException if the header is missing or the key is not valid
     */
    static Identity authenticate(String authorization, Configuration configuration) {
        if (authorization == null) {
            throw new RefusedException(Refusal.keyMissing());
        }
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw new RefusedException(Refusal.keyMissing());
        }
        String key = authorization.substring(SCHEME.length()).trim();
        int dot = key.lastIndexOf('.');
        if (!key.startsWith(KEY_PREFIX) || dot <= KEY_PREFIX.length()) {
            throw new RefusedException(Refusal.keyInvalid());
        }
        String id = key.substring(KEY_PREFIX.length(), dot);
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
     * Identifies an authenticated caller.
     *
     * @param account the client account of the key
     * @param key the id of the key
     * @param secret the secret part of the key, which must not be sent to any endpoint
     */
    record Identity(Account account, KeyId key, String secret) {

        @Override
        public String toString() {
            return "Identity[" + account.id() + "]";
        }
    }
}
