package org.filbertrudder.peer;

import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.Base64;

/** Makes a self-signed certificate with the tool of the Java installation. */
record Certificates(String certificate, String key) {

    private static final String PASSWORD = "changeit";

    static Certificates create(String name) throws Exception {
        Path directory = Files.createTempDirectory("certificates");
        Path file = directory.resolve(name + ".p12");
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                name,
                                "-keyalg",
                                "EC",
                                "-dname",
                                "CN=" + name,
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                file.toString(),
                                "-storepass",
                                PASSWORD)
                        .redirectErrorStream(true)
                        .start();
        process.getInputStream().readAllBytes();
        process.waitFor();
        KeyStore store = KeyStore.getInstance(file.toFile(), PASSWORD.toCharArray());
        byte[] certificate = store.getCertificate(name).getEncoded();
        byte[] key = store.getKey(name, PASSWORD.toCharArray()).getEncoded();
        return new Certificates(pem("CERTIFICATE", certificate), pem("PRIVATE KEY", key));
    }

    private static String pem(String type, byte[] bytes) {
        return "-----BEGIN "
                + type
                + "-----\n"
                + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes)
                + "\n-----END "
                + type
                + "-----\n";
    }
}
