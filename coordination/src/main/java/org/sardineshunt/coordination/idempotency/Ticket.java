package org.sardineshunt.coordination.idempotency;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Option;

/**
 * An idempotency key issued by a node. It names the issuer and the issuer's incarnation, which alone knows whether the
 * key was used.
 *
 * @param nodeId the issuer, not null
 * @param incarnation the issuer's incarnation, that is, one run of its process
 * @param sequence number among the tickets of this incarnation, from 1
 */
public record Ticket(String nodeId, long incarnation, long sequence) {
    /** Node id, incarnation and sequence; the two numbers are in base 36. */
    private static final Pattern TEXT_PATTERN =
            Pattern.compile("ticket\\.([^.]+)\\.([0-9a-z]{1,12})\\.([0-9a-z]{1,12})");

    /** Checks that the node id is not null. */
    public Ticket {
        Objects.requireNonNull(nodeId, "nodeId");
    }

    /** Parses the text form. Returns the ticket, or none if the text is not a ticket. */
    public static Option<Ticket> parse(String text) {
        Matcher matcher = TEXT_PATTERN.matcher(text);
        return matcher.matches()
                ? Option.of(new Ticket(
                        matcher.group(1), Long.parseLong(matcher.group(2), 36), Long.parseLong(matcher.group(3), 36)))
                : Option.none();
    }

    /** Returns the text that callers send as their idempotency key. */
    public String text() {
        return "ticket." + nodeId + '.' + Long.toString(incarnation, 36) + '.' + Long.toString(sequence, 36);
    }
}
