package org.sardineshunt.coordination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing (highest random weight): all nodes choose the same candidates for a key without exchanging
 * messages.
 *
 * <p>When a candidate leaves, only the keys assigned to it move.
 */
public final class RendezvousHashing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHashing() {}

    /**
     * Returns the candidates with the highest weights for a key, highest first. Ties are broken by name.
     *
     * @param count maximum number of candidates to return
     */
    public static List<String> choose(String key, Collection<String> candidates, int count) {
        return candidates.stream()
                .sorted(Comparator.comparingLong((String candidate) -> hash(key + '\n' + candidate))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    /** Returns a well-mixed 64-bit hash of a text (FNV-1a over its UTF-16 code units), the same on every node. */
    public static long hash(String text) {
        return mix(addText(FNV_OFFSET, text));
    }

    /** Returns the hash of a text that is followed by one code unit for each byte, without building that text. */
    public static long hash(String text, byte[] bytes) {
        long hash = addText(FNV_OFFSET, text);
        for (byte next : bytes) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static long addText(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }

    /** Returns a value with its bits well mixed (the 64-bit finalizer of MurmurHash3). */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
