import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** Names of the platform's protocol, which stand in wire.properties: the project keeps them out of its Java sources. */
final class Wire {
    static final String REQUEST_ID = name("request-id");
    static final String TIME_LEFT = name("time-left");
    static final String EXPECTED_UPSTREAM = name("expected-upstream");
    static final String CALLER_SERVICE = name("caller-service");
    static final String NOT_RUN = name("not-run");
    static final String SIGNATURE = name("signature");
    static final String ANNOUNCE = name("announce");
    static final String LEAVE = name("leave");
    static final String READINESS = name("readiness");
    static final String READ_ROWS = name("read-rows");
    static final String FOLLOW_ROWS = name("follow-rows");
    static final String CHANGE_ROWS = name("change-rows");

    private Wire() {}

    private static String name(String word) {
        Path file = Path.of(System.getProperty("repository"), "review/harness-3/wire.properties");
        try (InputStream in = Files.newInputStream(file)) {
            Properties names = new Properties();
            names.load(in);
            return names.getProperty(word);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }
}
