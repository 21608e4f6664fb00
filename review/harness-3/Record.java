import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String line) {
        out.printf("%7d ms  %s%n", millis(), line);
        out.flush();
    }

    /** Writes a line and shows it. */
    void show(String line) {
        write(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
