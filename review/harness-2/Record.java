import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The file record.txt of a case, and the end of its program. */
final class Record {
    private static final long START_NANOS = System.nanoTime();

    private final PrintWriter writer;

    Record(Path folder) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        line("disruption: " + (isTrouble() ? "yes" : "no"));
    }

    /** Whether the disruption is wanted. */
    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void line(String text) {
        writer.println(String.format(Locale.ROOT, "%7.3f s  %s", millis() / 1_000.0, text));
    }

    /** Writes the result and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    void end(int code, String result) {
        line((code == 1 ? "BROKEN: " : code == 0 ? "held: " : "could not run: ") + result);
        System.out.println((code == 1 ? "BROKEN: " : code == 0 ? "held: " : "could not run: ") + result);
        System.exit(code);
    }
}
