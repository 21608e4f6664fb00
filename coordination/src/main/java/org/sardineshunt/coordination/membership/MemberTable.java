package org.sardineshunt.coordination.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.sardineshunt.coordination.RendezvousHashing;

/**
 * Table of the latest known record of each node, with digests for anti-entropy. Not thread-safe.
 *
 * <p>Records are distributed over buckets by a hash of the node id. Two nodes compare one digest per bucket of their
 * tables and exchange only the records of the buckets that differ.
 */
public final class MemberTable {
    /** Number of buckets, each of which has one digest. */
    public static final int BUCKETS = 256;

    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Map<String, Member>> homes = new HashMap<>();
    private final Map<String, Long> endedAtMillis = new HashMap<>();
    private final long[] digests = new long[BUCKETS];

    /**
     * Adds a record, or replaces the known one of the same node if the new one supersedes it.
     *
     * @return whether the table changed
     */
    public boolean merge(long nowMillis, Member member) {
        Member known = members.get(member.nodeId());
        if (known != null && !member.supersedes(known)) {
            return false;
        }
        if (known != null) {
            toggleDigest(known);
            removeFromHomes(known);
        }
        addToHomes(member);
        members.put(member.nodeId(), member);
        toggleDigest(member);
        if (member.isReachable()) {
            endedAtMillis.remove(member.nodeId());
        } else {
            endedAtMillis.putIfAbsent(member.nodeId(), nowMillis);
        }
        return true;
    }

    /** Removes the nodes that died or left at least {@code retentionMillis} milliseconds ago. */
    public void expire(long nowMillis, long retentionMillis) {
        List<String> expired = endedAtMillis.entrySet().stream()
                .filter(entry -> entry.getValue() + retentionMillis <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(nodeId -> {
            Member member = members.remove(nodeId);
            toggleDigest(member);
            removeFromHomes(member);
            endedAtMillis.remove(nodeId);
        });
    }

    /** Returns the record of a node; empty if it is unknown. */
    public Optional<Member> find(String nodeId) {
        return Optional.ofNullable(members.get(nodeId));
    }

    /** Returns a view of all records, dead and left nodes included, ordered by node id; valid until the next change. */
    public Collection<Member> all() {
        return Collections.unmodifiableCollection(members.values());
    }

    /**
     * Returns a view of the nodes that are homes of a service's upstreams, dead and left ones included, ordered by node
     * id; valid until the next change.
     */
    public Collection<Member> homes(String service) {
        return Collections.unmodifiableCollection(
                homes.getOrDefault(service, Map.of()).values());
    }

    /** Returns a view of the names of all services that have upstreams, in no particular order. */
    public Set<String> services() {
        return Collections.unmodifiableSet(homes.keySet());
    }

    /** Returns the nodes to which work may be sent, ordered by node id. */
    public Stream<Member> reachable() {
        return members.values().stream().filter(Member::isReachable);
    }

    /** Returns a copy of the digests, one per bucket. */
    public long[] digests() {
        return digests.clone();
    }

    /** Returns the buckets whose digests differ from those of another table. */
    public List<Integer> differingBuckets(long[] others) {
        return IntStream.range(0, BUCKETS)
                .filter(bucket -> bucket >= others.length || others[bucket] != digests[bucket])
                .boxed()
                .toList();
    }

    /** Returns the records in the given buckets, ordered by node id. */
    public List<Member> inBuckets(Collection<Integer> buckets) {
        return members.values().stream()
                .filter(member -> buckets.contains(bucketOf(member.nodeId())))
                .toList();
    }

    private void addToHomes(Member member) {
        member.upstreams().forEach(upstream -> homes.computeIfAbsent(upstream.service(), key -> new TreeMap<>())
                .put(member.nodeId(), member));
    }

    private void removeFromHomes(Member member) {
        member.upstreams()
                .forEach(upstream -> homes.computeIfPresent(upstream.service(), (key, nodes) -> {
                    nodes.remove(member.nodeId());
                    return nodes.isEmpty() ? null : nodes;
                }));
    }

    // A digest is the XOR of the hashes of its records, so the same call adds a record and removes it.
    private void toggleDigest(Member member) {
        long recordHash = RendezvousHashing.hash(member.nodeId())
                ^ RendezvousHashing.mix(member.incarnation() * 31 + member.version())
                ^ RendezvousHashing.mix(member.state().ordinal() + 1L);
        digests[bucketOf(member.nodeId())] ^= RendezvousHashing.mix(recordHash);
    }

    private static int bucketOf(String nodeId) {
        return (int) Long.remainderUnsigned(RendezvousHashing.hash(nodeId), BUCKETS);
    }
}
