package org.sardineshunt.engine.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;

/**
 * Collects a body that arrives in parts. Parts of any size use little more memory than their bytes, and a body that
 * arrives in one part is copied once. Not thread-safe.
 */
final class BodyBuffer {
    private static final int MINIMUM_SEGMENT_BYTES = 512;
    private static final int MAXIMUM_SEGMENT_BYTES = 32 << 10;

    private final List<byte[]> segments = new ArrayList<>(1);
    private int lastSegmentLength;
    private int size;

    /** Returns the number of bytes collected. */
    int size() {
        return size;
    }

    /** Returns the bytes of memory that the parts use. */
    int allocatedBytes() {
        return segments.stream().mapToInt(segment -> segment.length).sum();
    }

    /** Returns how many bytes of memory {@link #toArray} allocates. */
    int joiningAllocation() {
        return segments.isEmpty() || isOneFullSegment() ? 0 : size;
    }

    /** Returns how many bytes of memory appending this many bytes allocates. */
    int allocationFor(int addedBytes) {
        int fitting = Math.min(addedBytes, roomInLastSegment());
        return fitting == addedBytes ? 0 : newSegmentLength(addedBytes - fitting, size + fitting);
    }

    /** Appends all readable bytes. */
    void append(ByteBuf bytes) {
        int fitting = Math.min(bytes.readableBytes(), roomInLastSegment());
        if (fitting > 0) {
            bytes.readBytes(segments.get(segments.size() - 1), lastSegmentLength, fitting);
            lastSegmentLength += fitting;
            size += fitting;
        }
        int remaining = bytes.readableBytes();
        if (remaining > 0) {
            byte[] segment = new byte[newSegmentLength(remaining, size)];
            bytes.readBytes(segment, 0, remaining);
            segments.add(segment);
            lastSegmentLength = remaining;
            size += remaining;
        }
    }

    /** Returns all bytes. The buffer must not be used afterwards, because the array may be the one it collects in. */
    byte[] toArray() {
        if (isOneFullSegment()) {
            return segments.get(0);
        }
        byte[] joined = new byte[size];
        int position = 0;
        for (byte[] segment : segments) {
            int length = Math.min(segment.length, size - position);
            System.arraycopy(segment, 0, joined, position, length);
            position += length;
        }
        return joined;
    }

    /** Passes on all bytes in order. The buffer must not be used afterwards. */
    void drainTo(Consumer<byte[]> consumer) {
        int remaining = size;
        for (byte[] segment : segments) {
            consumer.accept(segment.length <= remaining ? segment : Arrays.copyOf(segment, remaining));
            remaining -= Math.min(remaining, segment.length);
        }
        segments.clear();
    }

    private boolean isOneFullSegment() {
        return segments.size() == 1 && segments.get(0).length == size;
    }

    private int roomInLastSegment() {
        return segments.isEmpty() ? 0 : segments.get(segments.size() - 1).length - lastSegmentLength;
    }

    // The first part gets an array of its own length, because most bodies have only one.
    private int newSegmentLength(int neededBytes, int collectedBytes) {
        return segments.isEmpty()
                ? neededBytes
                : Math.max(
                        neededBytes, Math.min(MAXIMUM_SEGMENT_BYTES, Math.max(MINIMUM_SEGMENT_BYTES, collectedBytes)));
    }
}
