import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Plain HTTP/1.1 messages over sockets. */
final class Http {
    private Http() {}

    /** The head of a message. */
    record Head(String firstLine, List<String> fields) {
        String field(String name) {
            String start = Wire.expand(name) + ":";
            return fields.stream()
                    .filter(line -> line.regionMatches(true, 0, start, 0, start.length()))
                    .map(line -> line.substring(start.length()).trim())
                    .findFirst()
                    .orElse(null);
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String method() {
            return firstLine.split(" ")[0];
        }
    }

    /** A response; {@code complete} says whether its framing shows an end. */
    record Response(Head head, byte[] body, boolean complete) {}

    /** Reads a head; null if the connection ends before its first byte. */
    static Head readHead(InputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return null;
        }
        List<String> fields = new ArrayList<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            fields.add(line);
        }
        return new Head(first, fields);
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("in a head");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a response to its end. */
    static Response readResponse(InputStream input) throws IOException {
        Head head = readHead(input);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        try {
            if (head.field("Content-Length") != null) {
                complete = copy(input, body, Long.parseLong(head.field("Content-Length")));
            } else if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
                complete = readChunks(input, body);
            } else {
                copy(input, body, Long.MAX_VALUE);
                complete = true;
            }
        } catch (IOException broken) {
            complete = false;
        }
        return new Response(head, body.toByteArray(), complete);
    }

    /** Reads chunks up to the last one. */
    static boolean readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(input);
            if (size == null) {
                return false;
            }
            long length = Long.parseLong(size.trim(), 16);
            if (length == 0) {
                return readLine(input) != null;
            }
            if (!copy(input, body, length) || readLine(input) == null) {
                return false;
            }
        }
    }

    static boolean copy(InputStream input, ByteArrayOutputStream body, long length) throws IOException {
        byte[] buffer = new byte[16_384];
        long left = length;
        while (left > 0) {
            int count = input.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (count < 0) {
                return false;
            }
            if (body != null) {
                body.write(buffer, 0, count);
            }
            left -= count;
        }
        return true;
    }

    static byte[] bytes(String text) {
        return Wire.expand(text).getBytes(StandardCharsets.ISO_8859_1);
    }

    static InputStream input(Socket socket) throws IOException {
        return new BufferedInputStream(socket.getInputStream(), 16_384);
    }

    static Socket connect(String host, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    /** Sends a request that ends the connection and returns all that arrives; empty if that fails. */
    static String exchange(String host, int port, String request, int timeoutMillis) {
        try (Socket socket = connect(host, port, timeoutMillis)) {
            socket.getOutputStream().write(bytes(request));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException failed) {
            return "";
        }
    }
}
