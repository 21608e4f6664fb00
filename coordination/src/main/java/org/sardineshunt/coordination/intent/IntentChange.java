package org.sardineshunt.coordination.intent;

import io.vavr.control.Option;

/**
 * One accepted change of the intents.
 *
 * @param revision its place in the history, from 1 without gaps
 * @param changeId unique id by which its author finds it after a lost answer
 * @param author who made it
 * @param reason why
 * @param acceptedEpochMillis wall-clock time of acceptance
 * @param put the intent that was added or replaced
 * @param removedId the intent that was removed
 */
public record IntentChange(
        long revision,
        String changeId,
        String author,
        String reason,
        long acceptedEpochMillis,
        Option<Intent> put,
        Option<String> removedId) {
    /** Returns the id of the intent that the change is about. */
    public String intentId() {
        return put.map(Intent::id).orElse(removedId).getOrElse("");
    }

    /** Returns a one-line description for operators. */
    public String describe() {
        return put.map(intent -> intent.action().label() + " '" + intent.id() + "' on "
                        + intent.selector().text() + " by " + author + ": " + reason)
                .getOrElse(() -> "removal of '" + intentId() + "' by " + author + ": " + reason);
    }
}
