package org.filbertrudder.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;

/** Decides how connections between instances are secured. */
public final class PeerSecurity {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final PemKeyCertOptions mKeyCert;
    private final PemTrustOptions mTrust;

    private PeerSecurity(PemKeyCertOptions keyCert, PemTrustOptions trust) {
        mKeyCert = keyCert;
        mTrust = trust;
    }

    /** Returns connections in plain text, for use on loopback only. */
    public static PeerSecurity plain() {
        return new PeerSecurity(null, null);
    }

    /** Returns mutual TLS; both sides must show a certificate signed by the authority. */
    public static PeerSecurity mutualTls(String certificate, String key, String authority) {
        return new PeerSecurity(
                new PemKeyCertOptions()
                        .addCertValue(Buffer.buffer(certificate))
                        .addKeyValue(Buffer.buffer(key)),
                new PemTrustOptions().addCertValue(Buffer.buffer(authority)));
    }

    NetServerOptions serverOptions() {
        NetServerOptions options = new NetServerOptions().setTcpNoDelay(true);
        if (mKeyCert != null) {
            options.setSsl(true)
                    .setClientAuth(ClientAuth.REQUIRED)
                    .setKeyCertOptions(mKeyCert)
                    .setTrustOptions(mTrust);
        }
        return options;
    }

    NetClientOptions clientOptions() {
        NetClientOptions options =
                new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MS);
        if (mKeyCert != null) {
            options.setSsl(true)
                    .setHostnameVerificationAlgorithm("")
                    .setKeyCertOptions(mKeyCert)
                    .setTrustOptions(mTrust);
        }
        return options;
    }
}
