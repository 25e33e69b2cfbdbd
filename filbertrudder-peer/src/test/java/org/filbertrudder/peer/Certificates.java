package org.filbertrudder.peer;

import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.Base64;

/**
 * Holds a self-signed certificate and its private key in PEM format, created by {@code keytool}.
 */
record Certificates(String certificate, String key) {

    private static final String PASSWORD = "changeit";

    static Certificates create(String alias) throws Exception {
        Path directory = Files.createTempDirectory("certificates");
        Path keyStoreFile = directory.resolve(alias + ".p12");
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                alias,
                                "-keyalg",
                                "EC",
                                "-dname",
                                "CN=" + alias,
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                keyStoreFile.toString(),
                                "-storepass",
                                PASSWORD)
                        .redirectErrorStream(true)
                        .start();
        process.getInputStream().readAllBytes();
        process.waitFor();
        KeyStore keyStore = KeyStore.getInstance(keyStoreFile.toFile(), PASSWORD.toCharArray());
        byte[] certificate = keyStore.getCertificate(alias).getEncoded();
        byte[] key = keyStore.getKey(alias, PASSWORD.toCharArray()).getEncoded();
        return new Certificates(pem("CERTIFICATE", certificate), pem("PRIVATE KEY", key));
    }

    private static String pem(String type, byte[] der) {
        return "-----BEGIN "
                + type
                + "-----\n"
                + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der)
                + "\n-----END "
                + type
                + "-----\n";
    }
}
