package org.sardineshunt.engine;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller that sends and reads bodies part by part. Not thread-safe. */
final class StreamingCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final InputStream input;
    private final OutputStream output;

    StreamingCaller(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        input = new BufferedInputStream(socket.getInputStream());
        output = socket.getOutputStream();
    }

    void sendHead(String method, String path, String framing) throws IOException {
        output.write((method + ' ' + path + "x HTTP/1.1\r\nHost: h\r\nX-Request: streamed\r\nX-Left: 20000\r\n"
                        + framing + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    void send(byte[] bytes) throws IOException {
        output.write(bytes);
        output.flush();
    }

    void sendChunk(byte[] bytes) throws IOException {
        send((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        send(bytes);
        send("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the head of a response; empty if the connection is closed. */
    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Reads until the connection is closed or reset, or until the given number of bytes was read. */
    long readBody(long maximumBytes) {
        long read = 0;
        byte[] buffer = new byte[64 << 10];
        try {
            while (read < maximumBytes) {
                int next = input.read(buffer, 0, (int) Math.min(buffer.length, maximumBytes - read));
                if (next < 0) {
                    return read;
                }
                read += next;
            }
        } catch (IOException reset) {
            // A reset ends the body as well.
        }
        return read;
    }

    /** Reads chunks until the last one and returns the length of the body; -1 if the connection ends before that. */
    long readChunkedBody() throws IOException {
        long length = 0;
        while (true) {
            StringBuilder line = new StringBuilder();
            while (line.indexOf("\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    return -1;
                }
                line.append((char) next);
            }
            long chunk = Long.parseLong(line.toString().trim(), 16);
            if (readBody(chunk + 2) < chunk + 2) {
                return -1;
            }
            if (chunk == 0) {
                return length;
            }
            length += chunk;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
