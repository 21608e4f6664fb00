package org.sardineshunt.node.operator;

import java.util.Objects;

import io.vavr.control.Either;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.LabelSelector;
import org.sardineshunt.protocol.operator.OperatorMessages.IntentProposal;

/** Converts operator proposals to intents. */
final class Proposals {
    private Proposals() {}

    /** Returns the intent of a proposal, or a message that names the invalid part. Absent texts count as empty. */
    static Either<String, Intent> toIntent(IntentProposal proposal, long nowEpochMillis) {
        long endsEpochMillis = proposal.lastsMillis() == null ? 0 : nowEpochMillis + proposal.lastsMillis();
        return Intent.Action.ofLabel(nullToEmpty(proposal.action()))
                .flatMap(action -> LabelSelector.parse(nullToEmpty(proposal.selector()))
                        .map(selector -> new Intent(
                                nullToEmpty(proposal.id()),
                                action,
                                nullToEmpty(proposal.argument()),
                                selector,
                                nullToEmpty(proposal.author()),
                                nullToEmpty(proposal.reason()),
                                nowEpochMillis,
                                endsEpochMillis,
                                0)))
                .flatMap(Intent::validate);
    }

    private static String nullToEmpty(String value) {
        return Objects.requireNonNullElse(value, "");
    }
}
