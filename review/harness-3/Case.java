import java.io.IOException;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
final class Case {
    private Case() {}

    /** What a case does; returns whether the rule held. */
    interface Steps {
        boolean hold(Fleet fleet, Record record, boolean trouble) throws Exception;
    }

    static void run(Steps steps) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Path folder = Path.of(System.getProperty("case"));
        try (Record record = new Record(folder.resolve("record.txt"))) {
            record.show(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            try (Fleet fleet = new Fleet(record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> fleet.nodes().forEach(
                        node -> node.process().destroyForcibly())));
                status = steps.hold(fleet, record, trouble) ? 0 : 1;
                record.show(status == 0 ? "the rule held" : "THE RULE WAS BROKEN");
            } catch (Exception | LinkageError failure) {
                record.show("the case could not run: " + failure);
                failure.printStackTrace();
            }
        } catch (IOException failure) {
            System.err.println("no record: " + failure);
        }
        System.exit(status);
    }

    /** Waits until a condition holds; returns whether it does. */
    static boolean await(long millis, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < untilNanos) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Threads.sleep(50);
        }
        return condition.getAsBoolean();
    }

    /** Throws unless a step of the preparation has succeeded. */
    static void require(boolean met, String step) throws IOException {
        if (!met) {
            throw new IOException("not reached: " + step);
        }
    }
}
