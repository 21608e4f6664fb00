package org.sardineshunt.engine.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** A request decoder that tells how much memory an incomplete head uses. Confined to the event loop. */
final class RequestDecoder extends HttpRequestDecoder {
    // Each byte of a head is kept twice for a moment, undecoded and in a header.
    private static final int MEMORY_PER_BYTE = 2;

    // A decoded header uses about 170 bytes besides its text, and the decoder of a connection some KB.
    private static final int MEMORY_PER_LINE = 200;
    private static final int MEMORY_PER_HEAD = 4_096;

    private HttpMessage partialHead;
    private long headBytes;
    private long headLines;
    private long lastReadBytes;
    private long lastReadLines;

    RequestDecoder(int maximumHeaderBytes, int maximumChunkBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maximumHeaderBytes)
                .setMaxHeaderSize(maximumHeaderBytes)
                .setMaxChunkSize(maximumChunkBytes));
    }

    /** Returns whether bytes were received that are not decoded yet, or a head of which only lines are. */
    boolean holdsIncompleteData() {
        return partialHead != null || actualReadableBytes() > 0;
    }

    /** Returns an estimate of the memory that the data received since the last complete head or body part uses. */
    long incompleteDataBytes() {
        return MEMORY_PER_HEAD + MEMORY_PER_BYTE * headBytes + MEMORY_PER_LINE * headLines;
    }

    /** Starts the estimate again with the current read; called for each decoded part of a request. */
    void recordDecodedPart() {
        partialHead = null;
        headBytes = lastReadBytes;
        headLines = lastReadLines;
    }

    /** Starts the estimate again with the next read, because nothing incomplete is left. */
    void recordAllDecoded() {
        headBytes = 0;
        headLines = 0;
    }

    /** Drops the headers of an incomplete head; the connection must not be used for further requests. */
    void discardPartialHead() {
        if (partialHead != null) {
            partialHead.headers().clear();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            lastReadBytes = bytes.readableBytes();
            lastReadLines = countLines(bytes);
            headBytes += lastReadBytes;
            headLines += lastReadLines;
        }
        super.channelRead(context, message);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        partialHead = super.createMessage(initialLine);
        return partialHead;
    }

    private static long countLines(ByteBuf bytes) {
        long lines = 0;
        int end = bytes.writerIndex();
        int next = bytes.indexOf(bytes.readerIndex(), end, HttpConstants.LF);
        while (next >= 0) {
            lines++;
            next = bytes.indexOf(next + 1, end, HttpConstants.LF);
        }
        return lines;
    }
}
