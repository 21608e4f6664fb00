import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** A store and nodes on loopback addresses of their own, and a folder for their files. */
final class Fleet {
    final Store store;
    final List<Node> nodes = new ArrayList<>();
    private final Record record;
    private final Path folder;
    private final String prefix;

    Fleet(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-2-");
        Random random = new Random();
        prefix = "127." + (16 + random.nextInt(200)) + "." + random.nextInt(256) + ".";
        store = new Store(host(1));
        Runtime.getRuntime().addShutdownHook(new Thread(this::deleteFolder));
        // No case may run longer than 120 s.
        Upstream.daemon("watchdog", () -> {
            Thread.sleep(112_000);
            record.line("could not run: the case took too long");
            Runtime.getRuntime().exit(2);
        });
    }

    String host(int number) {
        return prefix + number;
    }

    Node addNode(String name, int number, String service, int appPort) throws IOException {
        Node node = new Node(
                record, folder, name, host(number), service, "z", appPort, host(1) + ":" + store.port());
        nodes.add(node);
        return node;
    }

    private void deleteFolder() {
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // Nothing is left to delete.
        }
    }
}
