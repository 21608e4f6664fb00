import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * One HTTP/1.1 request or response with its whole body.
 *
 * @param startLine first line, one char a byte
 * @param headers fields by name in lower case
 */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    /** Reads a message with a length or in chunks; returns null at the end of the stream before its first byte. */
    static HttpMessage read(InputStream in) throws IOException {
        String startLine = line(in, true);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String field = line(in, false); !field.isEmpty(); field = line(in, false)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        return new HttpMessage(startLine, headers, body(in, headers));
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
        return startLine.split(" ")[0];
    }

    /** Returns the target of a request. */
    String target() {
        return startLine.split(" ")[1];
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                whole.write(exactly(in, size));
                line(in, false);
            }
            while (!line(in, false).isEmpty()) {
                // Trailers are not used.
            }
            return whole.toByteArray();
        }
        return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0 && mayEnd) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the stream ends in a line");
            }
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
