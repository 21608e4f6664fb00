package org.sardineshunt.coordination.intent;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

import io.vavr.control.Either;

/**
 * An instruction of an operator that stays in force until it ends or is removed. Immutable.
 *
 * @param id unique name, chosen by the operator
 * @param action what to do with the selected upstreams
 * @param argument name of the rank for {@link Action#URGENT}, share for {@link Action#FLOOR}, otherwise empty
 * @param selector selects upstreams; for {@link Action#URGENT} and {@link Action#FLOOR} it selects by service only
 * @param author who set the intent
 * @param reason why the intent was set
 * @param createdEpochMillis when the intent was set, by the wall clock of the node that accepted it
 * @param endsEpochMillis when the intent stops being in force; 0 for never
 * @param revision revision that accepted the intent; 0 before acceptance
 */
public record Intent(
        String id,
        Action action,
        String argument,
        LabelSelector selector,
        String author,
        String reason,
        long createdEpochMillis,
        long endsEpochMillis,
        long revision) {

    /** Returns this intent if it is valid, otherwise a message that says what the operator must correct. */
    public Either<String, Intent> validate() {
        if (!id.matches("[A-Za-z0-9._-]{1,64}")) {
            return Either.left("id '" + id + "' is not 1 to 64 letters, digits, dots, dashes or underscores");
        }
        if (author.isBlank()) {
            return Either.left("intent '" + id + "' has no author");
        }
        if (reason.isBlank()) {
            return Either.left("intent '" + id + "' has no reason");
        }
        if (selector.terms().isEmpty()) {
            return Either.left("intent '" + id + "' has an empty selector");
        }
        if (endsEpochMillis != 0 && endsEpochMillis <= createdEpochMillis) {
            return Either.left("intent '" + id + "' ends before it starts");
        }
        return validateArgument();
    }

    /** Returns whether the intent is in force at a wall-clock time. */
    public boolean inForce(long epochMillis) {
        return endsEpochMillis == 0 || epochMillis < endsEpochMillis;
    }

    /** Returns a copy of this intent with the revision that accepted it. */
    public Intent withRevision(long acceptedRevision) {
        return new Intent(
                id, action, argument, selector, author, reason, createdEpochMillis, endsEpochMillis, acceptedRevision);
    }

    /** Returns the capacity floor, a share from 0 to 1, of a valid {@link Action#FLOOR} intent. */
    public double floorShare() {
        return Double.parseDouble(argument);
    }

    private Either<String, Intent> validateArgument() {
        return switch (action) {
            case URGENT -> argument.isBlank()
                    ? Either.left("intent '" + id + "' names no rank to treat as urgent")
                    : requireServiceOnly();
            case FLOOR -> argument.matches("0(\\.\\d+)?|1(\\.0+)?")
                    ? requireServiceOnly()
                    : Either.left("intent '" + id + "' has the floor '" + argument + "', not a share from 0 to 1");
            case KEEP_IN, DRAIN -> argument.isBlank()
                    ? Either.right(this)
                    : Either.left(
                            "intent '" + id + "': " + action.label() + " takes no argument, got '" + argument + "'");
        };
    }

    private Either<String, Intent> requireServiceOnly() {
        return selector.terms().keySet().equals(java.util.Set.of("service"))
                ? Either.right(this)
                : Either.left("intent '" + id + "': " + action.label() + " selects by the label 'service' alone, got '"
                        + selector.text() + "'");
    }

    /** What an intent does. */
    public enum Action {
        /** Keep the selected upstreams in rotation regardless of their health. */
        KEEP_IN,
        /** Send no new requests to the selected upstreams, unless the capacity floor requires them. */
        DRAIN,
        /** Serve one rank before all others at the selected services. */
        URGENT,
        /** Set the share of the capacity of the selected services that must stay in full use. */
        FLOOR;

        /** Returns the name that operators use. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Returns the action with the given label, or a message that lists the allowed labels. */
        public static Either<String, Action> ofLabel(String label) {
            return Arrays.stream(values())
                    .filter(action -> action.label().equals(label))
                    .findFirst()
                    .<Either<String, Action>>map(Either::right)
                    .orElseGet(() -> Either.left("unknown action '" + label + "'; allowed: "
                            + Arrays.stream(values()).map(Action::label).collect(Collectors.joining(", "))));
        }
    }
}
