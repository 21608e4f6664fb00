package org.sardineshunt.coordination.intent;

import io.vavr.control.Option;

/**
 * One change to the set of intents: adds, replaces or removes an intent.
 *
 * @param revision revision of the intents after the change, from 1 without gaps
 * @param changeId unique id by which the change is recognised when the answer to its commit was lost
 * @param author who made the change
 * @param reason why the change was made
 * @param acceptedEpochMillis wall-clock time of acceptance in milliseconds since the epoch
 * @param put the intent that is added or replaced, or none
 * @param removedId id of the intent that is removed, or none
 */
public record IntentChange(
        long revision,
        String changeId,
        String author,
        String reason,
        long acceptedEpochMillis,
        Option<Intent> put,
        Option<String> removedId) {
    /** Returns the id of the intent that is added, replaced or removed. */
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
