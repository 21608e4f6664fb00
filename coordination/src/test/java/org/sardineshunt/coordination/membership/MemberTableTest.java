package org.sardineshunt.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class MemberTableTest {
    private final MemberTable table = new MemberTable();

    @Property(seed = "20261204", tries = 300)
    void tablesAgreeForAnyOrderOfRecords(@ForAll("records") List<Member> records) {
        MemberTable first = new MemberTable();
        MemberTable second = new MemberTable();
        List<Member> shuffled = new ArrayList<>(records);
        Collections.shuffle(shuffled, new Random(records.size()));

        records.forEach(record -> first.merge(0, record));
        shuffled.forEach(record -> second.merge(0, record));

        assertThat(first.differingBuckets(second.digests()), is(empty()));
        assertThat(List.copyOf(first.all()), is(List.copyOf(second.all())));
    }

    @Test
    void olderRecordIsIgnored() {
        table.merge(0, member("a", 2, 5, Member.State.ALIVE));

        assertThat(table.merge(0, member("a", 1, 9, Member.State.DEAD)), is(false));
        assertThat(table.merge(0, member("a", 2, 4, Member.State.DEAD)), is(false));
    }

    @Test
    void refutationSupersedesSuspicion() {
        table.merge(0, member("a", 2, 5, Member.State.SUSPECT));

        assertThat(table.merge(0, member("a", 2, 6, Member.State.ALIVE)), is(true));
    }

    @Test
    void homesOfAServiceFollowTheRecords() {
        table.merge(0, memberWithUpstream("a", 1, "booking"));
        table.merge(0, memberWithUpstream("b", 1, "booking"));
        assertThat(table.homes("booking").size(), is(2));

        table.merge(0, memberWithUpstream("a", 2, "billing"));

        assertThat(table.homes("booking").stream().map(Member::nodeId).toList(), is(List.of("b")));
        assertThat(table.services(), is(java.util.Set.of("booking", "billing")));
    }

    @Test
    void endedNodesAreRemovedAfterTheRetentionTime() {
        table.merge(0, member("a", 1, 1, Member.State.DEAD));
        long[] withDead = table.digests();

        table.expire(999, 1_000);
        assertThat(table.all().size(), is(1));
        table.expire(1_000, 1_000);

        assertThat(table.all(), is(empty()));
        assertThat(table.differingBuckets(withDead).size(), is(1));
    }

    @Provide
    Arbitrary<List<Member>> records() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c", "d"),
                        Arbitraries.longs().between(1, 2),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.of(Member.State.class))
                .as(MemberTableTest::member)
                .list()
                .ofMaxSize(25);
    }

    private static Member memberWithUpstream(String id, long version, String service) {
        Member memberWithoutUpstream = member(id, 1, version, Member.State.ALIVE);
        UpstreamInfo upstream = new UpstreamInfo(
                id + "-u",
                service,
                4,
                org.sardineshunt.coordination.rotation.HealthCondition.HEALTHY,
                0,
                List.of(),
                false);
        return new Member(
                id,
                1,
                version,
                memberWithoutUpstream.state(),
                memberWithoutUpstream.endpoint(),
                memberWithoutUpstream.location(),
                "",
                List.of(upstream));
    }

    private static Member member(String id, long incarnation, long version, Member.State state) {
        return new Member(
                id,
                incarnation,
                version,
                state,
                new Member.Endpoint("127.0.0.1", 1, 1),
                new Member.Location("dc", "region"),
                "",
                List.of());
    }
}
