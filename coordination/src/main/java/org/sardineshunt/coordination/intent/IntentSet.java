package org.sardineshunt.coordination.intent;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vavr.control.Option;
import org.sardineshunt.coordination.rotation.Candidate;

/**
 * All intents at one revision. Immutable and thread-safe.
 *
 * <p>Applying a change yields a new set with the next revision; revisions never decrease.
 */
public final class IntentSet {
    /** No intents, revision 0. */
    public static final IntentSet EMPTY = new IntentSet(0, Map.of());

    private final long revision;
    private final Map<String, Intent> intents;

    private IntentSet(long revision, Map<String, Intent> intents) {
        this.revision = revision;
        this.intents = intents;
    }

    /** Returns a set of the given intents at the given revision. */
    public static IntentSet of(long revision, Collection<Intent> intents) {
        return new IntentSet(
                revision,
                intents.stream()
                        .collect(Collectors.toMap(
                                Intent::id, intent -> intent, (first, second) -> second, TreeMap::new)));
    }

    /** Returns the set after a change, or none if the change doesn't have the next revision. */
    public Option<IntentSet> apply(IntentChange change) {
        if (change.revision() != revision + 1) {
            return Option.none();
        }
        Map<String, Intent> updated = new TreeMap<>(intents);
        change.removedId().forEach(updated::remove);
        change.put().forEach(intent -> updated.put(intent.id(), intent.withRevision(change.revision())));
        return Option.some(new IntentSet(change.revision(), updated));
    }

    /** Returns the set with the higher revision; this set if both revisions are equal. */
    public IntentSet newerOf(IntentSet other) {
        return other.revision > revision ? other : this;
    }

    /** Returns the revision; 0 if no change was ever accepted. */
    public long revision() {
        return revision;
    }

    /** Returns all intents, including ended ones, ordered by id. */
    public Collection<Intent> all() {
        return intents.values();
    }

    /** Returns the intent with the given id, or none. */
    public Option<Intent> find(String id) {
        return Option.of(intents.get(id));
    }

    /** Returns the intents in force that select an upstream with the given labels, the latest accepted first. */
    public List<Intent> selecting(Map<String, String> labels, long epochMillis) {
        return inForce(epochMillis)
                .filter(intent -> intent.selector().matches(labels))
                .sorted(Comparator.comparingLong(Intent::revision).reversed())
                .toList();
    }

    /**
     * Returns the override for an upstream: the latest accepted action to keep it in rotation or to drain it.
     *
     * @param selectingLatestFirst the intents that select the upstream, the latest accepted first
     */
    public static Candidate.Override override(List<Intent> selectingLatestFirst) {
        return selectingLatestFirst.stream()
                .map(Intent::action)
                .filter(action -> action == Intent.Action.KEEP_IN || action == Intent.Action.DRAIN)
                .findFirst()
                .map(action -> action == Intent.Action.DRAIN ? Candidate.Override.DRAIN : Candidate.Override.KEEP_IN)
                .orElse(Candidate.Override.NONE);
    }

    /** Returns the latest accepted intent in force that applies an action to a service, or none. */
    public Option<Intent> forService(Intent.Action action, String service, long epochMillis) {
        return Option.ofOptional(inForce(epochMillis)
                .filter(intent -> intent.action() == action)
                .filter(intent -> intent.selector().matches(Map.of("service", service)))
                .max(Comparator.comparingLong(Intent::revision)));
    }

    /** Returns the pairs of intents in force that contradict each other and could select the same upstream. */
    public List<Conflict> conflicts(long epochMillis) {
        List<Intent> active = inForce(epochMillis)
                .sorted(Comparator.comparingLong(Intent::revision))
                .toList();
        return active.stream()
                .flatMap(later -> active.stream()
                        .takeWhile(earlier -> earlier != later)
                        .filter(earlier -> contradict(earlier, later))
                        .map(earlier -> new Conflict(earlier.id(), later.id())))
                .toList();
    }

    private Stream<Intent> inForce(long epochMillis) {
        return intents.values().stream().filter(intent -> intent.inForce(epochMillis));
    }

    private static boolean contradict(Intent earlier, Intent later) {
        boolean oppositeOverrides =
                isRotationOverride(earlier) && isRotationOverride(later) && earlier.action() != later.action();
        boolean differentArguments = !isRotationOverride(earlier)
                && earlier.action() == later.action()
                && !earlier.argument().equals(later.argument());
        return (oppositeOverrides || differentArguments) && earlier.selector().overlaps(later.selector());
    }

    private static boolean isRotationOverride(Intent intent) {
        return intent.action() == Intent.Action.KEEP_IN || intent.action() == Intent.Action.DRAIN;
    }

    /**
     * Two intents that contradict each other.
     *
     * @param displacedId id of the earlier intent, which has no effect where both select an upstream
     * @param winningId id of the later intent, which takes effect there
     */
    public record Conflict(String displacedId, String winningId) {}
}
