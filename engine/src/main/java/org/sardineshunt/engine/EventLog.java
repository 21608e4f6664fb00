package org.sardineshunt.engine;

import java.util.function.Consumer;

/**
 * Logs the decisions of a node as JSON, one object a line.
 *
 * <pre>{@code
 * log.event("refused").with("request", id).with("reason", "queue-full").write();
 * }</pre>
 *
 * <p>Thread-safe; the sink must be thread-safe and must not block.
 */
public final class EventLog {
    private final String node;
    private final Consumer<String> sink;

    /**
     * Creates a log.
     *
     * @param node ID of the node, written in each line
     * @param sink receives each line, without a line terminator
     */
    public EventLog(String node, Consumer<String> sink) {
        this.node = node;
        this.sink = sink;
    }

    /** Starts a line; nothing is logged before {@link Line#write} is called. */
    public Line event(String name) {
        return new Line(name);
    }

    /** Builder of a line. Not thread-safe. */
    public final class Line {
        private final StringBuilder json = new StringBuilder(160);

        private Line(String name) {
            json.append("{\"time\":").append(System.currentTimeMillis());
            with("node", node);
            with("event", name);
        }

        /** Adds a string; null is written as an empty string. */
        public Line with(String name, String value) {
            json.append(",\"").append(name).append("\":\"");
            appendEscaped(value == null ? "" : value);
            json.append('"');
            return this;
        }

        /** Adds a number. */
        public Line with(String name, long value) {
            json.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Adds a boolean. */
        public Line with(String name, boolean value) {
            json.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Passes the line to the sink. */
        public void write() {
            sink.accept(json.append('}').toString());
        }

        private void appendEscaped(String value) {
            value.chars().forEach(character -> {
                if (character == '"' || character == '\\') {
                    json.append('\\').append((char) character);
                } else if (character < ' ' || character > '~') {
                    json.append(String.format("\\u%04x", character));
                } else {
                    json.append((char) character);
                }
            });
        }
    }
}
