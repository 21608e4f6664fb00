import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, longs, doubles and booleans. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private Object value() {
        skipSpace();
        char first = text.charAt(position);
        if (first == '{') {
            return object();
        }
        if (first == '[') {
            return list();
        }
        if (first == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && ",]} \t\r\n".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> number(word);
        };
    }

    private static Object number(String word) {
        if (word.matches("-?[0-9]+")) {
            return Long.parseLong(word);
        }
        return Double.parseDouble(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        position++;
        skipSpace();
        while (text.charAt(position) != '}') {
            skipSpace();
            String name = string();
            skipSpace();
            position++;
            fields.put(name, value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
                skipSpace();
            }
        }
        position++;
        return fields;
    }

    private List<Object> list() {
        List<Object> items = new ArrayList<>();
        position++;
        skipSpace();
        while (text.charAt(position) != ']') {
            items.add(value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
                skipSpace();
            }
        }
        position++;
        return items;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char next = text.charAt(position++);
            if (next != '\\') {
                result.append(next);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> result.append(escaped);
            }
        }
        position++;
        return result.toString();
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }
}
