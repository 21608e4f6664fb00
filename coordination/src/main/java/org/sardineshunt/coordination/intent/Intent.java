package org.sardineshunt.coordination.intent;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

import io.vavr.control.Either;

/**
 * A standing order of an operator. Immutable.
 *
 * @param id unique name, chosen by the operator
 * @param action what to do with the selected upstreams
 * @param argument rank of {@link Action#URGENT}, share of {@link Action#FLOOR}, else empty
 * @param selector which upstreams; for {@link Action#URGENT} and {@link Action#FLOOR} it names services
 * @param author who set it
 * @param reason why
 * @param createdEpochMillis when it was set, by the wall clock of the node that accepted it
 * @param endsEpochMillis when it stops being in force; 0 for never
 * @param revision revision that accepted it; 0 before that
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

    /** Returns this intent, or what an operator must correct. */
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

    /** Returns this intent as accepted by a revision. */
    public Intent withRevision(long acceptedRevision) {
        return new Intent(
                id, action, argument, selector, author, reason, createdEpochMillis, endsEpochMillis, acceptedRevision);
    }

    /** Returns the floor share of a {@link Action#FLOOR} intent. */
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
        /** Keep the selected upstreams in rotation whatever their health. */
        KEEP_IN,
        /** Give the selected upstreams no new work, if the floor allows. */
        DRAIN,
        /** Serve a rank before all others at the selected services. */
        URGENT,
        /** Set the capacity floor of the selected services. */
        FLOOR;

        /** Returns the name that operators use. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Returns the action with a label, or a text that lists the allowed ones. */
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
