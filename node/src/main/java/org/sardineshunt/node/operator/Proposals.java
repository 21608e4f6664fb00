package org.sardineshunt.node.operator;

import java.util.Objects;

import io.vavr.control.Either;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.LabelSelector;
import org.sardineshunt.protocol.operator.OperatorReports.IntentProposal;

/** Reads intents that operators propose. */
final class Proposals {
    private Proposals() {}

    /** Returns the intent of a proposal, or what the operator must correct. */
    static Either<String, Intent> toIntent(IntentProposal proposal, long nowEpochMillis) {
        long ends = proposal.lastsMillis() == null ? 0 : nowEpochMillis + proposal.lastsMillis();
        return Intent.Action.ofLabel(text(proposal.action()))
                .flatMap(action -> LabelSelector.parse(text(proposal.selector()))
                        .map(selector -> new Intent(
                                text(proposal.id()),
                                action,
                                text(proposal.argument()),
                                selector,
                                text(proposal.author()),
                                text(proposal.reason()),
                                nowEpochMillis,
                                ends,
                                0)))
                .flatMap(Intent::validate);
    }

    private static String text(String value) {
        return Objects.requireNonNullElse(value, "");
    }
}
