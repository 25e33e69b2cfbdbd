package org.filbertrudder.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates the consistency of a configuration before a change to it is accepted. */
public final class ConfigurationValidator {

    private static final double SHARE_SUM_TOLERANCE = 1e-6;
    private static final int SHA256_HEX_DIGITS = 64;

    private final Configuration mConfiguration;
    private final List<ConfigurationProblem> mProblems = new ArrayList<>();

    private ConfigurationValidator(Configuration configuration) {
        mConfiguration = configuration;
    }

    /** Returns all problems of the configuration; empty if it is valid. */
    public static List<ConfigurationProblem> validate(Configuration configuration) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        configuration.all(Region.class).forEach(validator::checkRegion);
        configuration.all(Link.class).forEach(validator::checkLink);
        validator.checkServices();
        configuration.all(Endpoint.class).forEach(validator::checkEndpoint);
        configuration.all(Account.class).forEach(validator::checkAccount);
        configuration.all(ApiKey.class).forEach(validator::checkKey);
        configuration.all(Operator.class).forEach(validator::checkOperator);
        validator.checkModelsAreUnique();
        validator.checkRules(configuration.rules());
        return List.copyOf(validator.mProblems);
    }

    /**
     * Returns all problems that edits introduce into a valid configuration.
     *
     * <p>Validates only the edited entities if no other entity depends on them, and the whole
     * configuration otherwise.
     *
     * @param configuration the configuration after the edits
     * @param edits the edits
     */
    public static List<ConfigurationProblem> validateEdits(
            Configuration configuration, List<Edit> edits) {
        if (!edits.stream().allMatch(ConfigurationValidator::isSelfContained)) {
            return validate(configuration);
        }
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        for (Edit edit : edits) {
            if (edit instanceof Edit.Put put) {
                validator.checkSelfContainedEntity(put.entity());
            }
        }
        return List.copyOf(validator.mProblems);
    }

    /** Returns whether the edit cannot invalidate any entity but its target. */
    private static boolean isSelfContained(Edit edit) {
        return switch (edit.target().kind()) {
            case KEY, OPERATOR -> true;
            case ACCOUNT, RULES -> edit instanceof Edit.Put;
            default -> false;
        };
    }

    private void checkSelfContainedEntity(Entity entity) {
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
        requireExistingRegion(link, "from", link.from());
        requireExistingRegion(link, "to", link.to());
        require(
                !link.from().equals(link.to()),
                link,
                "to",
                "equals 'from'. A link connects two different regions.");
        require(link.delayMs() >= 0, link, "delayMs", "is negative. Use 0 or more.");
        require(link.bitsPerSecond() > 0, link, "bitsPerSecond", "is not positive. Use 1 or more.");
    }

    private void checkServices() {
        Set<ServiceId> servicesWithEndpoints = new HashSet<>();
        mConfiguration
                .all(Endpoint.class)
                .forEach(endpoint -> servicesWithEndpoints.add(endpoint.service()));
        mConfiguration
                .all(Service.class)
                .forEach(
                        service ->
                                checkService(
                                        service, servicesWithEndpoints.contains(service.id())));
    }

    private void checkService(Service service, boolean hasEndpoints) {
        if (service.type() == null) {
            addProblem(service, "type", "is missing. Use MODEL or PLAIN.");
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
                "applies to services of type MODEL only. Leave out 'version' and 'adapters'.");
        require(
                service.adapters().isEmpty() || !service.version().isEmpty(),
                service,
                "adapters",
                "require a model version. Set 'version' too.");
        require(
                hasEndpoints,
                service,
                "endpoints",
                "is empty. Add an endpoint to the service or remove the service.");
    }

    private void checkEndpoint(Endpoint endpoint) {
        if (mConfiguration.service(endpoint.service()).isEmpty()) {
            addProblem(
                    endpoint,
                    "service",
                    "'" + endpoint.service() + "' does not exist. Add it to the inventory.");
        }
        requireExistingRegion(endpoint, "region", endpoint.region());
        mConfiguration
                .region(endpoint.region())
                .filter(region -> !region.failureDomains().contains(endpoint.failureDomain()))
                .ifPresent(region -> addFailureDomainProblem(endpoint, region));
        require(
                endpoint.host() != null && !endpoint.host().isBlank(),
                endpoint,
                "host",
                "is missing. Set an IP address.");
        require(
                endpoint.port() > 0 && endpoint.port() < 65_536,
                endpoint,
                "port",
                "is out of range. Use a port from 1 to 65535.");
        require(endpoint.slots() > 0, endpoint, "slots", "is not positive. Use 1 or more.");
    }

    private void addFailureDomainProblem(Endpoint endpoint, Region region) {
        addProblem(
                endpoint,
                "failureDomain",
                "is not in region "
                        + region.id()
                        + ". Use one of "
                        + region.failureDomains()
                        + ".");
    }

    private void checkAccount(Account account) {
        account.residency().forEach(region -> requireExistingRegion(account, "residency", region));
        account.shares()
                .keySet()
                .forEach(region -> requireExistingRegion(account, "shares", region));
        checkContract(account);
        if (account.shares().isEmpty()) {
            return;
        }
        double shareSum = account.shares().values().stream().mapToDouble(Double::doubleValue).sum();
        boolean anyNegative = account.shares().values().stream().anyMatch(share -> share < 0);
        require(
                !anyNegative && Math.abs(shareSum - 1) <= SHARE_SUM_TOLERANCE,
                account,
                "shares",
                "must each be 0 or more, with a sum of 1. The sum is " + shareSum + ".");
        account.shares().keySet().stream()
                .filter(region -> !account.allows(region))
                .forEach(
                        region ->
                                addProblem(
                                        account,
                                        "shares",
                                        "contains region "
                                                + region
                                                + " outside 'residency'. Remove either of them."));
    }

    private void checkContract(Account account) {
        Contract contract = account.contract();
        if (contract == null) {
            addProblem(account, "contract", "is missing. Set ratePerSecond and burst.");
            return;
        }
        require(
                contract.ratePerSecond() > 0 && Double.isFinite(contract.ratePerSecond()),
                account,
                "contract.ratePerSecond",
                "is not a positive, finite number. Use tokens per second above 0.");
        require(
                contract.burst() >= contract.ratePerSecond() && Double.isFinite(contract.burst()),
                account,
                "contract.burst",
                "is less than ratePerSecond or not finite. Use at least ratePerSecond.");
    }

    private void checkKey(ApiKey key) {
        if (mConfiguration.account(key.account()).isEmpty()) {
            addProblem(
                    key,
                    "account",
                    "'"
                            + key.account()
                            + "' does not exist. Withdraw an account's keys before removing it.");
        }
        require(
                key.secretSha256() != null && isSha256Hex(key.secretSha256()),
                key,
                "secretSha256",
                "is not a SHA-256 digest. Issue the key again.");
    }

    private void checkOperator(Operator operator) {
        require(operator.role() != null, operator, "role", "is missing. Use READ or OPERATE.");
        require(
                operator.tokenSha256() != null && isSha256Hex(operator.tokenSha256()),
                operator,
                "tokenSha256",
                "is not a SHA-256 digest. Issue the token again.");
    }

    private static boolean isSha256Hex(String text) {
        return text.length() == SHA256_HEX_DIGITS
                && text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }

    private void checkModelsAreUnique() {
        Map<String, Service> servicesByModel = new HashMap<>();
        for (Service service : mConfiguration.all(Service.class)) {
            for (String model : service.models()) {
                Service otherService = servicesByModel.putIfAbsent(model, service);
                require(
                        otherService == null,
                        service,
                        "models",
                        "'" + model + "' is also listed in another service. List it in only one.");
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
                "must be greater than maxQueueWaitMs. Raise it or lower maxQueueWaitMs.");
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
                "is out of range. Use a fraction from 0 to 1.");
        require(
                rules.awayLinkShare() >= 0 && rules.awayLinkShare() <= 1,
                rules,
                "awayLinkShare",
                "is out of range. Use a fraction from 0 to 1.");
        require(
                rules.weightLoadsPerMinute() > 0,
                rules,
                "weightLoadsPerMinute",
                "is not positive. Use 1 or more.");
    }

    private void requireExistingRegion(Entity entity, String field, RegionId region) {
        Set<RegionId> regionIds = mConfiguration.regionIds();
        if (region == null || !regionIds.contains(region)) {
            addProblem(
                    entity,
                    field,
                    "'" + region + "' does not exist. Use one of " + regionIds + ".");
        }
    }

    private void require(boolean condition, Entity entity, String field, String problem) {
        if (!condition) {
            addProblem(entity, field, problem);
        }
    }

    private void addProblem(Entity entity, String field, String problem) {
        mProblems.add(new ConfigurationProblem(entity.entityKey() + "." + field, problem));
    }
}
