import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to the node of its machine. Not thread-safe. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(InetSocketAddress address, int timeoutMillis) throws IOException {
        socket.connect(address, 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends bytes as they are; each char is one byte. */
    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the next answer; null if the connection ends first. */
    HttpMessage receive() throws IOException {
        return HttpMessage.read(in);
    }

    HttpMessage exchange(String text) throws IOException {
        send(text);
        return receive();
    }

    /** Returns a request with a body; each char of the target is one byte. */
    static String request(String method, String target, String host, String attempt, long left, String body) {
        return method + ' ' + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + Wire.REQUEST_ID + ": " + attempt
                + "\r\n" + Wire.TIME_LEFT + ": " + left + "\r\n"
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    @Override
    public void close() {
        Threads.closeQuietly(socket);
    }
}
