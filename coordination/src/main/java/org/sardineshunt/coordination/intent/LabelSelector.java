package org.sardineshunt.coordination.intent;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.vavr.control.Either;

/**
 * Selects upstreams by their labels: an upstream matches if each named label has one of the listed values.
 *
 * <p>Its text form is {@code label=value,label=value|value}. Every upstream has the labels {@code service},
 * {@code upstream}, {@code node}, {@code data-centre} and {@code region} besides those that it announces. Immutable.
 *
 * @param terms allowed values by label
 */
public record LabelSelector(Map<String, Set<String>> terms) {
    private static final Pattern TERM_PATTERN = Pattern.compile("([A-Za-z0-9._-]+)=([A-Za-z0-9._:|-]+)");

    /** Copies the terms, sorted by label and value. */
    public LabelSelector {
        Map<String, Set<String>> copy = new TreeMap<>();
        terms.forEach((label, values) -> copy.put(label, new TreeSet<>(values)));
        terms = java.util.Collections.unmodifiableMap(copy);
    }

    /** Parses the text form. Returns the selector, or a message that says what is wrong with the text. */
    public static Either<String, LabelSelector> parse(String text) {
        Map<String, Set<String>> terms = new TreeMap<>();
        for (String termText : text.split(",", -1)) {
            Matcher matcher = TERM_PATTERN.matcher(termText.trim());
            if (!matcher.matches()) {
                return Either.left(
                        "selector term '" + termText + "' is not of the form label=value or label=value|value");
            }
            if (terms.put(matcher.group(1), Set.copyOf(splitValues(matcher.group(2)))) != null) {
                return Either.left("selector names the label '" + matcher.group(1) + "' twice");
            }
        }
        return Either.right(new LabelSelector(terms));
    }

    /** Returns whether an upstream with the given labels matches. */
    public boolean matches(Map<String, String> labels) {
        return terms.entrySet().stream()
                .allMatch(term -> term.getValue().contains(labels.getOrDefault(term.getKey(), "")));
    }

    /** Returns whether an upstream could match both selectors. Labels named by only one of them are ignored. */
    public boolean overlaps(LabelSelector other) {
        return terms.entrySet().stream().allMatch(term -> {
            Set<String> otherValues = other.terms.get(term.getKey());
            return otherValues == null || term.getValue().stream().anyMatch(otherValues::contains);
        });
    }

    /** Returns the text form. */
    public String text() {
        return terms.entrySet().stream()
                .map(term -> term.getKey() + '=' + String.join("|", term.getValue()))
                .collect(Collectors.joining(","));
    }

    private static Set<String> splitValues(String values) {
        return Arrays.stream(values.split("\\|")).collect(Collectors.toSet());
    }
}
