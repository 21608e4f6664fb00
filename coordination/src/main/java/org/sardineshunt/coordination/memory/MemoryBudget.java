package org.sardineshunt.coordination.memory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the memory of one process that is used to buffer data for others, such as bodies and unsent bytes. Memory is
 * reserved before the bytes are buffered. If there is too little, the holders with the highest product of bytes and
 * time without progress are evicted, which may include the one that asks for more.
 *
 * <pre>{@code
 * MemoryBudget.Holder holder = budget.open(Kind.REQUEST, now, this::rejectRequest);
 * if (holder.tryReserve(now, bytes)) { ... }
 * holder.close();
 * }</pre>
 *
 * <p>A part of the budget is reserved for small requests that were received completely, so that large bodies can't keep
 * them out. Thread-safe. Times are milliseconds of any clock that doesn't run backwards.
 */
public final class MemoryBudget {
    /** Share of the capacity that only small, completely received requests use. */
    static final double SMALL_REQUEST_SHARE = 0.1;

    /** Requests with fewer bytes than this are small. */
    public static final int SMALL_REQUEST_BYTES = 64 << 10;

    // Added to the time without progress, so that a large holder that receives a byte now and then is not spared.
    private static final long MINIMUM_SCORED_MILLIS = 100;

    private final long commonCapacityBytes;
    private final long smallCapacityBytes;
    private final EvictionListener listener;
    private final Set<Holder> commonHolders = new HashSet<>();
    private final Map<Kind, Long> bytesByKind = new EnumMap<>(Kind.class);
    private long commonBytes;
    private long smallBytes;

    /**
     * Creates a budget without holders.
     *
     * @param capacityBytes bytes that all holders together may reserve, at least 1
     * @param listener told of each eviction, on the thread of the holder that needed the memory
     * @throws IllegalArgumentException if the capacity is less than 1
     */
    public MemoryBudget(long capacityBytes, EvictionListener listener) {
        if (capacityBytes < 1) {
            throw new IllegalArgumentException("capacity must be 1 byte or more, got " + capacityBytes);
        }
        smallCapacityBytes = (long) (capacityBytes * SMALL_REQUEST_SHARE);
        commonCapacityBytes = capacityBytes - smallCapacityBytes;
        this.listener = listener;
    }

    /** Returns a budget that refuses nothing. */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE / 2, (kind, bytes, idleMillis) -> {});
    }

    /**
     * Adds a holder without memory.
     *
     * @param evict frees the memory of the holder; called at most once, without any lock, on the thread of the holder
     *     that needs the memory. The holder is closed by then.
     */
    public Holder open(Kind kind, long nowMillis, Runnable evict) {
        return new Holder(kind, nowMillis, evict);
    }

    /** Returns the reserved bytes of all holders of one kind. */
    public synchronized long reservedBytes(Kind kind) {
        return bytesByKind.getOrDefault(kind, 0L);
    }

    /** Returns the reserved bytes of all holders. */
    public synchronized long reservedBytes() {
        return commonBytes + smallBytes;
    }

    /** What memory is used for. */
    public enum Kind {
        /** The head of a request that is not complete yet. */
        PARTIAL_HEAD("partial-head"),
        /** A request at its entry, until it has a response. */
        REQUEST("request"),
        /** An attempt of another entry at this home. */
        ATTEMPT("attempt"),
        /** A response that an upstream sends. */
        UPSTREAM_RESPONSE("upstream-response"),
        /** A response that its caller has not read yet. */
        CALLER_RESPONSE("caller-response"),
        /** Frames that another node has not read yet. */
        PEER_LINK("peer-link"),
        /** The part in transit of a body that is passed on while it arrives. */
        STREAM("stream");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** Returns the name used in logs and metrics. */
        public String label() {
            return label;
        }
    }

    /** Receives evictions. Must be thread-safe and must not block. */
    @FunctionalInterface
    public interface EvictionListener {
        /**
         * Called before a holder is evicted.
         *
         * @param bytes bytes that it had reserved
         * @param idleMillis time since its last progress
         */
        void evicted(Kind kind, long bytes, long idleMillis);

        /**
         * Called when memory is refused.
         *
         * @param bytes bytes that the holder asked for
         * @param reservedBytes bytes that all holders have reserved
         */
        default void refused(Kind kind, long bytes, long reservedBytes) {}
    }

    /** A user of the budget. Thread-safe. */
    public final class Holder implements AutoCloseable {
        private final Kind kind;
        private final Runnable evict;
        private long bytes;
        private long progressMillis;
        private boolean small;
        private boolean closed;

        private Holder(Kind kind, long nowMillis, Runnable evict) {
            this.kind = kind;
            this.evict = evict;
            progressMillis = nowMillis;
        }

        /**
         * Reserves memory, and evicts other holders if there is too little.
         *
         * @param addedBytes bytes to reserve in addition, 0 or more
         * @return whether it is reserved; false if the holder is closed, if no eviction frees enough or if this holder
         *     would be the first to be evicted. It keeps what it had reserved before, without its eviction action.
         */
        public boolean tryReserve(long nowMillis, long addedBytes) {
            List<Holder> victims = new ArrayList<>();
            boolean reserved = reserve(nowMillis, addedBytes, victims);
            victims.forEach(victim -> victim.evict.run());
            if (!reserved) {
                listener.refused(kind, addedBytes, MemoryBudget.this.reservedBytes());
            }
            return reserved;
        }

        /** Releases memory and records progress. Releasing more than is reserved releases all. */
        public void release(long nowMillis, long releasedBytes) {
            synchronized (MemoryBudget.this) {
                progressMillis = nowMillis;
                add(-Math.min(bytes, releasedBytes));
            }
        }

        /** Records that the bytes move on, so that the holder counts as slow only from now. */
        public void recordProgress(long nowMillis) {
            synchronized (MemoryBudget.this) {
                progressMillis = nowMillis;
            }
        }

        /** Moves a request that was received completely to the part for small ones, if it is small and fits there. */
        public void markReceived() {
            synchronized (MemoryBudget.this) {
                if (!closed && !small && bytes < SMALL_REQUEST_BYTES && smallBytes + bytes <= smallCapacityBytes) {
                    long moved = bytes;
                    add(-moved);
                    small = true;
                    add(moved);
                }
            }
        }

        /** Returns the reserved bytes. */
        public long reservedBytes() {
            synchronized (MemoryBudget.this) {
                return bytes;
            }
        }

        /** Releases all memory. A closed holder reserves none. */
        @Override
        public void close() {
            synchronized (MemoryBudget.this) {
                add(-bytes);
                closed = true;
            }
        }

        private boolean reserve(long nowMillis, long addedBytes, List<Holder> victims) {
            synchronized (MemoryBudget.this) {
                if (closed) {
                    return false;
                }
                if (bytes == 0) {
                    // Time during which a holder had nothing to move on does not make it slow.
                    progressMillis = nowMillis;
                }
                boolean fits = small
                        ? smallBytes + addedBytes <= smallCapacityBytes
                        : makeRoom(nowMillis, addedBytes, victims);
                if (fits) {
                    add(addedBytes);
                    if (!small && bytes > 0) {
                        commonHolders.add(this);
                    }
                }
                return fits;
            }
        }

        private boolean makeRoom(long nowMillis, long addedBytes, List<Holder> victims) {
            while (commonBytes + addedBytes > commonCapacityBytes) {
                if (bytes + addedBytes > commonCapacityBytes) {
                    return false;
                }
                double ownScore = score(nowMillis, bytes + addedBytes);
                Optional<Holder> victim = commonHolders.stream()
                        .filter(holder -> holder != this && holder.score(nowMillis, holder.bytes) >= ownScore)
                        .max((left, right) ->
                                Double.compare(left.score(nowMillis, left.bytes), right.score(nowMillis, right.bytes)));
                if (victim.isEmpty()) {
                    return false;
                }
                victims.add(victim.get());
                listener.evicted(victim.get().kind, victim.get().bytes, nowMillis - victim.get().progressMillis);
                victim.get().close();
            }
            return true;
        }

        private double score(long nowMillis, long scoredBytes) {
            return (double) scoredBytes * (MINIMUM_SCORED_MILLIS + Math.max(0, nowMillis - progressMillis));
        }

        private void add(long change) {
            bytes += change;
            if (small) {
                smallBytes += change;
            } else {
                commonBytes += change;
            }
            if (bytes == 0) {
                commonHolders.remove(this);
            }
            bytesByKind.merge(kind, change, Long::sum);
        }
    }
}
