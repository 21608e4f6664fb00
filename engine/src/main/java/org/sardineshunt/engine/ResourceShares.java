package org.sardineshunt.engine;

/** Shares of the process's resources that the parts of an engine may use. */
final class ResourceShares {
    // Share of the heap that buffers bodies and responses, but at most the given share of the process's memory. The
    // rest is for the engine's own objects and for the garbage between two collections.
    private static final double BUFFER_SHARE_OF_HEAP = 0.4;
    private static final double BUFFER_SHARE_OF_MEMORY = 0.25;

    // Descriptors for files, and the share of the others that callers' connections may use. The rest is for links to
    // other nodes, the store and the upstream.
    private static final int RESERVED_DESCRIPTORS = 200;
    private static final double CALLER_SHARE_OF_DESCRIPTORS = 0.7;
    private static final int MINIMUM_CALLER_CONNECTIONS = 16;

    private ResourceShares() {}

    /** Returns the bytes that buffer bodies and responses. */
    static long bufferBytes(EngineSettings.Resources resources) {
        return (long) Math.min(
                BUFFER_SHARE_OF_HEAP * Runtime.getRuntime().maxMemory(),
                BUFFER_SHARE_OF_MEMORY * resources.memoryBytes());
    }

    /** Returns the number of connections that callers may have open. */
    static int maximumConnections(EngineSettings.Resources resources) {
        int shared = (int) (CALLER_SHARE_OF_DESCRIPTORS * (resources.fileDescriptors() - RESERVED_DESCRIPTORS));
        return Math.max(MINIMUM_CALLER_CONNECTIONS, shared);
    }
}
