package org.sardineshunt.coordination.idempotency;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AttemptIdTest {
    @Test
    void restoresAnIdFromItsText() {
        AttemptId id = new AttemptId("rack/1/node", 1_700_000_000_000L, 42);

        assertThat(AttemptId.parse(id.toString()), is(Optional.of(id)));
    }

    @Test
    void restoresNothingFromOtherText() {
        List.of("", "/", "//", "a", "a/1", "a/1/", "a//1", "a/x/1", "a/1/99999999999999999999")
                .forEach(text -> assertThat(text, AttemptId.parse(text), is(Optional.empty())));
    }
}
