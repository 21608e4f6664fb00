package org.sardineshunt.kit;

import javax.net.SocketFactory;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicLong;

import okhttp3.Connection;

/**
 * Creates sockets for an HTTP client that fail a call which receives too many bytes, head, chunk sizes and trailers
 * included. OkHttp limits heads, but collects the line of a chunk's size whatever its length. Thread-safe.
 *
 * <pre>{@code
 * builder.socketFactory(new LimitedSocketFactory(maximumBytes));
 * // In the EventListener of the client:
 * public void connectionAcquired(Call call, Connection connection) {
 *     LimitedSocketFactory.startCall(connection);
 * }
 * }</pre>
 */
public final class LimitedSocketFactory extends SocketFactory {
    private final long maximumBytes;

    /**
     * Creates a factory.
     *
     * @param maximumBytes bytes that each call may receive
     */
    public LimitedSocketFactory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Starts to count anew if the connection is one of this factory. */
    public static void startCall(Connection connection) {
        if (connection.socket() instanceof LimitedSocket socket) {
            socket.receivedBytes.set(0);
        }
    }

    @Override
    public Socket createSocket() {
        return new LimitedSocket(maximumBytes);
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(null, new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
        return connect(new InetSocketAddress(localHost, localPort), new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(null, new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
            throws IOException {
        return connect(new InetSocketAddress(localAddress, localPort), new InetSocketAddress(address, port));
    }

    private Socket connect(InetSocketAddress local, InetSocketAddress remote) throws IOException {
        Socket socket = createSocket();
        try {
            socket.bind(local);
            socket.connect(remote);
            return socket;
        } catch (IOException failure) {
            socket.close();
            throw failure;
        }
    }

    /** Signals that a call has received more bytes than it may. */
    public static final class LimitExceededException extends SocketException {
        private static final long serialVersionUID = 1L;

        private LimitExceededException(long maximumBytes) {
            super("received more than " + maximumBytes + " bytes");
        }
    }

    private static final class LimitedSocket extends Socket {
        private final AtomicLong receivedBytes = new AtomicLong();
        private final long maximumBytes;

        private LimitedSocket(long maximumBytes) {
            this.maximumBytes = maximumBytes;
        }

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read() throws IOException {
                    int value = in.read();
                    count(value < 0 ? 0 : 1);
                    return value;
                }

                @Override
                public int read(byte[] buffer, int offset, int length) throws IOException {
                    int count = in.read(buffer, offset, length);
                    count(Math.max(0, count));
                    return count;
                }
            };
        }

        private void count(int bytes) throws LimitExceededException {
            if (receivedBytes.addAndGet(bytes) > maximumBytes) {
                throw new LimitExceededException(maximumBytes);
            }
        }
    }
}
