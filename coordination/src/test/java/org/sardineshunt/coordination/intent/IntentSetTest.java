package org.sardineshunt.coordination.intent;

import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.rotation.Candidate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

class IntentSetTest {
    private static final Map<String, String> LABELS = Map.of("service", "seat-booking", "rack", "r1");

    @Property(seed = "20261204")
    void revisionNeitherDecreasesNorSkips(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 12) Integer> revisions) {
        IntentSet set = IntentSet.EMPTY;
        for (int revision : revisions) {
            IntentSet next = set.apply(put(revision, intent("i", Intent.Action.DRAIN, "rack=r1", 0)))
                    .getOrElse(set);
            assertThat(next.revision() == set.revision() || next.revision() == set.revision() + 1, is(true));
            assertThat(set.newerOf(IntentSet.of(revision, List.of())).revision() >= set.revision(), is(true));
            set = next;
        }
    }

    @Test
    void laterIntentWinsAndEarlierIsReportedAsDisplaced() {
        IntentSet set = IntentSet.EMPTY
                .apply(put(1, intent("keep", Intent.Action.KEEP_IN, "service=seat-booking", 0)))
                .get()
                .apply(put(2, intent("drain", Intent.Action.DRAIN, "rack=r1", 0)))
                .get();

        assertThat(IntentSet.override(set.selecting(LABELS, 10)), is(Candidate.Override.DRAIN));
        assertThat(set.conflicts(10), contains(new IntentSet.Conflict("keep", "drain")));
    }

    @Test
    void intentsWithoutOverlapDoNotConflict() {
        IntentSet set = IntentSet.EMPTY
                .apply(put(1, intent("keep", Intent.Action.KEEP_IN, "rack=r2", 0)))
                .get()
                .apply(put(2, intent("drain", Intent.Action.DRAIN, "rack=r1", 0)))
                .get();

        assertThat(set.conflicts(10), is(empty()));
    }

    @Test
    void endedIntentIsNotInForceButStaysListed() {
        IntentSet set = IntentSet.EMPTY
                .apply(put(1, intent("drain", Intent.Action.DRAIN, "rack=r1", 50)))
                .get();

        assertThat(set.selecting(LABELS, 50), is(empty()));
        assertThat(set.all().size(), is(1));
    }

    @Test
    void intentWithoutAuthorAndReasonIsRejected() {
        Intent unattributed = new Intent(
                "x", Intent.Action.DRAIN, "", LabelSelector.parse("rack=r1").get(), " ", "", 1, 0, 0);

        assertThat(unattributed.validate().getLeft(), is("intent 'x' has no author"));
    }

    @Test
    void malformedSelectorIsRejectedWithItsError() {
        assertThat(LabelSelector.parse("rack").getLeft(), startsWith("selector term 'rack' is not of the form"));
        assertThat(LabelSelector.parse("a=1,a=2").getLeft(), is("selector names the label 'a' twice"));
    }

    private static IntentChange put(long revision, Intent intent) {
        return new IntentChange(revision, "change-" + revision, "a", "r", 1, Option.some(intent), Option.none());
    }

    private static Intent intent(String id, Intent.Action action, String selector, long endsEpochMillis) {
        return new Intent(
                id, action, "", LabelSelector.parse(selector).get(), "author", "reason", 1, endsEpochMillis, 0);
    }
}
