package org.filbertrudder.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks that a configuration is consistent before it is accepted. */
public final class ConfigurationValidator {

    private static final double SHARE_TOLERANCE = 1e-6;
    private static final int SHA256_DIGITS = 64;

    private final Configuration mConfiguration;
    private final List<Problem> mProblems = new ArrayList<>();

    private ConfigurationValidator(Configuration configuration) {
        mConfiguration = configuration;
    }

    /** Returns all problems of the configuration; empty if it can be accepted. */
    public static List<Problem> validate(Configuration configuration) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        configuration.all(Region.class).forEach(validator::checkRegion);
        configuration.all(Link.class).forEach(validator::checkLink);
        validator.checkServices();
        configuration.all(Endpoint.class).forEach(validator::checkEndpoint);
        configuration.all(Account.class).forEach(validator::checkAccount);
        configuration.all(ApiKey.class).forEach(validator::checkKey);
        configuration.all(Operator.class).forEach(validator::checkOperator);
        validator.checkModels();
        validator.checkRules(configuration.rules());
        return List.copyOf(validator.mProblems);
    }

    /**
     * Returns all problems that edits bring into a consistent configuration.
     *
     * <p>Looks only at what the edits touch where they cannot make another entity inconsistent.
     *
     * @param configuration the configuration with the edits made
     * @param edits the edits
     */
    public static List<Problem> validateEdits(Configuration configuration, List<Edit> edits) {
        if (!edits.stream().allMatch(ConfigurationValidator::isSelfContained)) {
            return validate(configuration);
        }
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        for (Edit edit : edits) {
            if (edit instanceof Edit.Put put) {
                validator.checkSelfContained(put.entity());
            }
        }
        return List.copyOf(validator.mProblems);
    }

    /** Returns whether no other entity depends on what the edit changes. */
    private static boolean isSelfContained(Edit edit) {
        return switch (edit.target().kind()) {
            case KEY, OPERATOR -> true;
            case ACCOUNT, RULES -> edit instanceof Edit.Put;
            default -> false;
        };
    }

    private void checkSelfContained(Entity entity) {
        if (entity instanceof ApiKey key) {
            checkKey(key);
        } else if (entity instanceof Operator operator) {
            checkOperator(operator);
        } else if (entity instanceof Account account) {
            checkAccount(account);
        } else if (entity instanceof Rules rules) {
            checkRules(rules);
        }
    }

    private void checkRegion(Region region) {
        require(
                !region.failureDomains().isEmpty(),
                region,
                "failureDomains",
                "is empty. Name at least one failure domain.");
    }

    private void checkLink(Link link) {
        requireRegion(link, "from", link.from());
        requireRegion(link, "to", link.to());
        require(!link.from().equals(link.to()), link, "to", "equals 'from'. Name two regions.");
        require(link.delayMs() >= 0, link, "delayMs", "is negative. Use 0 or more.");
        require(link.bitsPerSecond() > 0, link, "bitsPerSecond", "is not positive. Use 1 or more.");
    }

    private void checkServices() {
        Set<ServiceId> served = new HashSet<>();
        mConfiguration.all(Endpoint.class).forEach(endpoint -> served.add(endpoint.service()));
        mConfiguration
                .all(Service.class)
                .forEach(service -> checkService(service, served.contains(service.id())));
    }

    private void checkService(Service service, boolean served) {
        if (service.type() == null) {
            add(service, "type", "is missing. Use MODEL or PLAIN.");
            return;
        }
        require(
                service.type() == ServiceKind.PLAIN || !service.models().isEmpty(),
                service,
                "models",
                "is empty. Name at least one model.");
        require(
                service.type() == ServiceKind.MODEL
                        || (service.version().isEmpty() && service.adapters().isEmpty()),
                service,
                "version",
                "is for model pools only. Leave 'version' and 'adapters' out.");
        require(
                service.adapters().isEmpty() || !service.version().isEmpty(),
                service,
                "adapters",
                "need a version to be loaded with. Set 'version' too.");
        require(
                served,
                service,
                "endpoints",
                "has none left. Add an endpoint or remove the service too.");
    }

    private void checkEndpoint(Endpoint endpoint) {
        if (mConfiguration.service(endpoint.service()).isEmpty()) {
            add(
                    endpoint,
                    "service",
                    "'" + endpoint.service() + "' is not in the inventory. Add it.");
        }
        requireRegion(endpoint, "region", endpoint.region());
        mConfiguration
                .region(endpoint.region())
                .filter(region -> !region.failureDomains().contains(endpoint.failureDomain()))
                .ifPresent(region -> addWrongDomain(endpoint, region));
        require(
                endpoint.host() != null && !endpoint.host().isBlank(),
                endpoint,
                "host",
                "is missing. Give an IP number.");
        require(
                endpoint.port() > 0 && endpoint.port() < 65_536,
                endpoint,
                "port",
                "is out of range. Use 1 to 65535.");
        require(endpoint.slots() > 0, endpoint, "slots", "is not positive. Use 1 or more.");
    }

    private void addWrongDomain(Endpoint endpoint, Region region) {
        add(
                endpoint,
                "failureDomain",
                "is not in region "
                        + region.id()
                        + ". Use one of "
                        + region.failureDomains()
                        + ".");
    }

    private void checkAccount(Account account) {
        account.residency().forEach(region -> requireRegion(account, "residency", region));
        account.shares().keySet().forEach(region -> requireRegion(account, "shares", region));
        checkContract(account);
        if (account.shares().isEmpty()) {
            return;
        }
        double sum = account.shares().values().stream().mapToDouble(Double::doubleValue).sum();
        boolean negative = account.shares().values().stream().anyMatch(share -> share < 0);
        require(
                !negative && Math.abs(sum - 1) <= SHARE_TOLERANCE,
                account,
                "shares",
                "must be 0 or more and add up to 1. They add up to " + sum + ".");
        account.shares().keySet().stream()
                .filter(region -> !account.allows(region))
                .forEach(
                        region ->
                                add(
                                        account,
                                        "shares",
                                        "names region "
                                                + region
                                                + " outside 'residency'. Remove one of the two."));
    }

    private void checkContract(Account account) {
        Contract contract = account.contract();
        if (contract == null) {
            add(account, "contract", "is missing. Give ratePerSecond and burst.");
            return;
        }
        require(
                contract.ratePerSecond() > 0 && Double.isFinite(contract.ratePerSecond()),
                account,
                "contract.ratePerSecond",
                "is not positive. Use a number of tokens per second above 0.");
        require(
                contract.burst() >= contract.ratePerSecond() && Double.isFinite(contract.burst()),
                account,
                "contract.burst",
                "is below one second of the rate. Use at least ratePerSecond.");
    }

    private void checkKey(ApiKey key) {
        if (mConfiguration.account(key.account()).isEmpty()) {
            add(
                    key,
                    "account",
                    "'" + key.account() + "' is not in the inventory. Withdraw its keys first.");
        }
        require(
                key.secretSha256() != null && isSha256(key.secretSha256()),
                key,
                "secretSha256",
                "is not a SHA-256 digest. Issue the key again.");
    }

    private void checkOperator(Operator operator) {
        require(operator.role() != null, operator, "role", "is missing. Use READ or OPERATE.");
        require(
                operator.tokenSha256() != null && isSha256(operator.tokenSha256()),
                operator,
                "tokenSha256",
                "is not a SHA-256 digest. Issue the token again.");
    }

    private static boolean isSha256(String text) {
        return text.length() == SHA256_DIGITS
                && text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }

    private void checkModels() {
        Map<String, Service> owners = new HashMap<>();
        for (Service service : mConfiguration.all(Service.class)) {
            for (String model : service.models()) {
                Service other = owners.putIfAbsent(model, service);
                require(
                        other == null,
                        service,
                        "models",
                        "'" + model + "' belongs to another service too. Keep it in one.");
            }
        }
    }

    private void checkRules(Rules rules) {
        require(
                rules.maxQueueWaitMs() >= 0,
                rules,
                "maxQueueWaitMs",
                "is negative. Use 0 or more.");
        require(
                rules.requestTimeoutMs() > rules.maxQueueWaitMs(),
                rules,
                "requestTimeoutMs",
                "must be above maxQueueWaitMs. Raise it or lower the wait.");
        require(
                rules.maxOutputTokens() > 0,
                rules,
                "maxOutputTokens",
                "is not positive. Use 1 or more.");
        require(rules.awayCostMs() >= 0, rules, "awayCostMs", "is negative. Use 0 or more.");
        require(
                rules.retryShare() >= 0 && rules.retryShare() <= 1,
                rules,
                "retryShare",
                "is out of range. Use 0 to 1.");
        require(
                rules.awayLinkShare() >= 0 && rules.awayLinkShare() <= 1,
                rules,
                "awayLinkShare",
                "is out of range. Use 0 to 1.");
        require(
                rules.weightLoadsPerMinute() > 0,
                rules,
                "weightLoadsPerMinute",
                "is not positive. Use 1 or more.");
    }

    private void requireRegion(Entity entity, String field, RegionId region) {
        Set<RegionId> known = mConfiguration.regionIds();
        if (region == null || !known.contains(region)) {
            add(
                    entity,
                    field,
                    "'" + region + "' is not in the inventory. Use one of " + known + ".");
        }
    }

    private void require(boolean condition, Entity entity, String field, String message) {
        if (!condition) {
            add(entity, field, message);
        }
    }

    private void add(Entity entity, String field, String message) {
        mProblems.add(new Problem(entity.entityKey() + "." + field, message));
    }
}
