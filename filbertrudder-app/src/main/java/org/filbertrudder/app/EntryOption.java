package org.filbertrudder.app;

import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;

/** Settings of an entry instance; each can be set by a flag or an environment variable. */
enum EntryOption {
    ID("id of this instance", null),
    REGION("region in which this instance runs", null),
    FAILURE_DOMAIN("failure domain in which this instance runs", null),
    HOST("IP address on which all ports listen", "127.0.0.1"),
    CALLER_PORT("TCP port of the caller API; 0 binds a free port", "8080"),
    ADMIN_PORT("TCP port of the administration API; 0 binds a free port", "8081"),
    PEER_PORT("TCP port for control messages between instances; 0 binds a free port", "8082"),
    FORWARD_PORT("TCP port for requests that other instances forward; 0 binds a free port", "8083"),
    STORE("host:port of the platform's key-value store", null),
    PLATFORM("host:port of the platform service with the live list and the caller directory", null),
    SEEDS("peer ports of other instances to contact first, as host:port, separated by commas", ""),
    OPERATORS("operators as name:role:token, separated by commas; roles: read, operate", null),
    CALLER_CERTIFICATE("PEM certificate of the caller API: path of a file, or the PEM text", ""),
    CALLER_KEY("PEM private key of the caller API: path of a file, or the PEM text", ""),
    PEER_CERTIFICATE("PEM certificate for connections between instances: path or text", ""),
    PEER_KEY("PEM private key for connections between instances: path or text", ""),
    PEER_AUTHORITY(
            "PEM certificate of the authority that signs the instances' certificates: path or text",
            ""),
    PLAIN_HTTP(
            "whether callers may use plain HTTP if the host is not 127.*: true or false", "false"),
    MAX_BODY_BYTES("maximum size of a request body in bytes", "8388608"),
    TRAFFIC_THREADS("number of threads that serve requests, 1 to 64", "1"),
    DRAIN_TIMEOUT_MS("maximum time in ms that a shutdown waits for running requests", "120000"),
    LOG_LEVEL("lowest level that is logged: debug, info or warning", "info"),
    LOG_FORMAT("format of log lines: text or json", "text");

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
        String defaultText = mDefault == null ? "required" : "default: '" + mDefault + "'";
        return mHelp + " (" + variable() + "; " + defaultText + ")";
    }

    /** Returns the value of the flag, else of the variable, else the default, which may be null. */
    String value(Namespace arguments, Map<String, String> environment) {
        String flag = arguments.getString(name());
        if (flag != null) {
            return flag;
        }
        return environment.getOrDefault(variable(), mDefault);
    }
}
