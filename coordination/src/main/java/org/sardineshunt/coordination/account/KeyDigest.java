package org.sardineshunt.coordination.account;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 digest of a client account's key. Keys themselves are never stored. Immutable and thread-safe.
 *
 * @param first first 8 bytes, big-endian
 * @param second next 8 bytes
 * @param third next 8 bytes
 * @param fourth last 8 bytes
 */
public record KeyDigest(long first, long second, long third, long fourth) {
    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            byte[] bytes = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            return new KeyDigest(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
        } catch (NoSuchAlgorithmException missing) {
            // Every Java platform has SHA-256.
            throw new IllegalStateException("SHA-256 is not available", missing);
        }
    }

    /** Returns the part of the digest that may be sent to other nodes. */
    public long fingerprint() {
        return first;
    }
}
