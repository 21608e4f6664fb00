import java.io.Closeable;
import java.io.IOException;

/** Small helpers for threads, sockets and bytes. */
final class Threads {
    private Threads() {}

    /** An action that may fail because its connection was closed. */
    interface Action {
        void run() throws Exception;
    }

    /** Starts a daemon thread; what its action throws ends it. */
    static Thread start(String name, Action action) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        action.run();
                    } catch (Exception ended) {
                        // A closed connection or listener.
                    }
                },
                name,
                256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    static byte[] join(byte[] first, byte[] second) {
        byte[] joined = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
