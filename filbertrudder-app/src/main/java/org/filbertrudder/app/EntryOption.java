package org.filbertrudder.app;

import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;

/** Lists the settings of an entry instance; each is a flag and an environment variable. */
enum EntryOption {
    ID("this instance's id", null),
    REGION("the region where the instance runs", null),
    FAILURE_DOMAIN("the failure domain where the instance runs", null),
    HOST("the IP number to listen on", "127.0.0.1"),
    CALLER_PORT("the TCP port for callers; 0 chooses a free one", "8080"),
    ADMIN_PORT("the TCP port for operators; 0 chooses a free one", "8081"),
    PEER_PORT("the TCP port for control messages; 0 chooses a free one", "8082"),
    FORWARD_PORT("the TCP port for forwarded requests; 0 chooses a free one", "8083"),
    STORE("host:port of the platform's key-value store", null),
    PLATFORM("host:port of the live list and the caller directory", null),
    SEEDS("host:port of other instances' peer ports, separated by commas", ""),
    OPERATORS("operators as name:role:token, separated by commas; roles: read, operate", null),
    CALLER_CERTIFICATE("PEM certificate for callers: a path, or the text itself", ""),
    CALLER_KEY("PEM private key for callers: a path, or the text itself", ""),
    PEER_CERTIFICATE("PEM certificate for other instances", ""),
    PEER_KEY("PEM private key for other instances", ""),
    PEER_AUTHORITY("PEM certificate that signs those of all instances", ""),
    PLAIN_HTTP("whether callers may use plain HTTP off loopback: true or false", "false"),
    MAX_BODY_BYTES("the longest request body in bytes", "8388608"),
    TRAFFIC_THREADS("the number of threads for traffic", "1"),
    DRAIN_TIMEOUT_MS("how long a stop waits for running requests in ms", "120000"),
    LOG_LEVEL("debug, info or warning", "info"),
    LOG_FORMAT("text or json", "text");

    private final String mHelp;
    private final String mDefault;

    EntryOption(String help, String defaultValue) {
        mHelp = help;
        mDefault = defaultValue;
    }

    String flag() {
        return "--" + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    String variable() {
        return "FILBERTRUDDER_" + name();
    }

    String help() {
        String fallback = mDefault == null ? "required" : "default: '" + mDefault + "'";
        return mHelp + " (" + variable() + "; " + fallback + ")";
    }

    /** Returns the flag's value, else the variable's, else the default; null if there is none. */
    String value(Namespace arguments, Map<String, String> environment) {
        String flag = arguments.getString(name());
        if (flag != null) {
            return flag;
        }
        return environment.getOrDefault(variable(), mDefault);
    }
}
