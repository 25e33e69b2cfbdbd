package org.filbertrudder.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;

/** Provides the transport security options of peer connections: plain text or mutual TLS. */
public final class PeerSecurity {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final PemKeyCertOptions mKeyCert;
    private final PemTrustOptions mTrustedAuthority;

    private PeerSecurity(PemKeyCertOptions keyCert, PemTrustOptions trustedAuthority) {
        mKeyCert = keyCert;
        mTrustedAuthority = trustedAuthority;
    }

    /** Returns options for plain-text connections; for loopback only. */
    public static PeerSecurity plainText() {
        return new PeerSecurity(null, null);
    }

    /**
     * Returns options for mutual TLS; both sides must present a certificate signed by the
     * authority. All parameters are in PEM format.
     */
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
                    .setTrustOptions(mTrustedAuthority);
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
                    .setTrustOptions(mTrustedAuthority);
        }
        return options;
    }
}
