import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Properties;

/** Puts the names of the platform's protocol, which stand in wire.properties, into texts. */
final class Wire {
    private static final Properties NAMES = read();

    private Wire() {}

    /** Replaces the words that begin with an at sign. */
    static String expand(String text) {
        if (text.indexOf('@') < 0) {
            return text;
        }
        String expanded = text;
        for (Map.Entry<Object, Object> name : NAMES.entrySet()) {
            expanded = expanded.replace((String) name.getKey(), (String) name.getValue());
        }
        return expanded;
    }

    private static Properties read() {
        Properties names = new Properties();
        try (Reader reader = Files.newBufferedReader(Path.of("review", "harness-2", "wire.properties"))) {
            names.load(reader);
        } catch (IOException missing) {
            throw new UncheckedIOException(missing);
        }
        return names;
    }
}
