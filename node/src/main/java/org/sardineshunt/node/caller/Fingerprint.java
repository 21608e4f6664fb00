package org.sardineshunt.node.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.sardineshunt.kit.HttpRequest;

/** Hash of a request's service, method, target and body, by which a repetition of the request is recognised. */
final class Fingerprint {
    private static final int LENGTH_BYTES = 12;

    private Fingerprint() {}

    /** Returns the fingerprint in hexadecimal digits. */
    static String of(String service, HttpRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((service + '\n' + request.method() + '\n' + request.target() + '\n')
                    .getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(request.body()), 0, LENGTH_BYTES);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java platform has SHA-256", impossible);
        }
    }
}
