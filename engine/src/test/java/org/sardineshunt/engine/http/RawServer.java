package org.sardineshunt.engine.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server that hands each accepted connection to a script of the test, which writes any bytes. Thread-safe. */
final class RawServer implements AutoCloseable {
    private final ServerSocket listener;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    RawServer(Script script) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(() -> accept(script), "raw-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Returns the number of connections that were accepted. */
    int accepted() {
        return connections.size();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void accept(Script script) {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                Thread thread = new Thread(() -> run(script, socket), "raw-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The test has closed the server.
        }
    }

    private static void run(Script script, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            script.run(new Connection(socket));
        } catch (IOException closed) {
            // The client has closed the connection.
        }
    }

    /** What the server does with an accepted connection, which is closed afterwards. */
    @FunctionalInterface
    interface Script {
        void run(Connection connection) throws IOException;
    }

    /** An accepted connection. */
    record Connection(Socket socket) {
        /** Reads a request without a body and returns its head; throws if the client has closed the connection. */
        String readRequest() throws IOException {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("connection closed by the client");
                }
                head.append((char) next);
            }
            return head.toString();
        }

        void write(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Writes the same bytes until the client closes the connection. */
        void writeWithoutEnd(String bytes) throws IOException {
            while (true) {
                write(bytes);
            }
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
