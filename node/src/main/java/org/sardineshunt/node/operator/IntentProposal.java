package org.sardineshunt.node.operator;

import java.util.Objects;

import io.vavr.control.Either;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.Selector;

/**
 * An intent that an operator wants to add or replace.
 *
 * @param id its name
 * @param action what it does
 * @param argument rank or share; may be absent
 * @param selector text form of its selector
 * @param author who sets it
 * @param reason why
 * @param lastsMillis how long it stays in force; absent for always
 * @param against revision that the operator saw; absent for whatever is in force
 */
record IntentProposal(
        String id,
        String action,
        String argument,
        String selector,
        String author,
        String reason,
        Long lastsMillis,
        Long against) {

    /** Returns the intent, or what must be corrected. */
    Either<String, Intent> toIntent(long nowEpochMillis) {
        return Intent.Action.ofLabel(text(action))
                .flatMap(parsedAction -> Selector.parse(text(selector))
                        .map(parsedSelector -> new Intent(
                                text(id),
                                parsedAction,
                                text(argument),
                                parsedSelector,
                                text(author),
                                text(reason),
                                nowEpochMillis,
                                lastsMillis == null ? 0 : nowEpochMillis + lastsMillis,
                                0)))
                .flatMap(Intent::check);
    }

    private static String text(String value) {
        return Objects.requireNonNullElse(value, "");
    }
}
