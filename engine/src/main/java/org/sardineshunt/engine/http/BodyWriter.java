package org.sardineshunt.engine.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes a streamed body to a connection as fast as its peer reads. Confined to the connection's event loop. */
final class BodyWriter {
    private final Channel channel;
    private final BodyPipe pipe;
    private final Listener listener;
    private boolean writing;
    private boolean complete;
    private boolean stopped;

    BodyWriter(Channel channel, BodyPipe pipe, Listener listener) {
        this.channel = channel;
        this.pipe = pipe;
        this.listener = listener;
    }

    /** Starts writing; the head must have been written. */
    void start() {
        LoopRunner runner = new LoopRunner(channel.eventLoop());
        pipe.attach(() -> runner.run(this::writeAvailable));
    }

    /** Returns whether the whole body was handed to the connection. */
    boolean isComplete() {
        return complete;
    }

    /** Stops writing. The source is told to stop if a part of the body was written; else it may get another sink. */
    void stop() {
        if (stopped || complete) {
            return;
        }
        stopped = true;
        pipe.detach();
        if (pipe.isTouched()) {
            pipe.cancel();
        }
    }

    /** Writes what the connection takes; called whenever it takes more. */
    void writeAvailable() {
        if (writing || stopped || complete) {
            return;
        }
        writing = true;
        boolean more = true;
        while (more && channel.isWritable() && !stopped) {
            byte[] part = pipe.read();
            more = part != null;
            if (more) {
                channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
            }
        }
        writing = false;
        if (!stopped) {
            finishIfOver();
        }
    }

    private void finishIfOver() {
        String failure = pipe.failure();
        if (failure != null) {
            stopped = true;
            pipe.cancel();
            listener.failed(failure);
        } else if (pipe.isReadToEnd()) {
            complete = true;
            listener.completed(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    /** Receives the end of a body, on the event loop. */
    interface Listener {
        /** Called when the whole body was handed to the connection. */
        void completed(ChannelFuture lastWrite);

        /** Called when the rest of the body will never arrive. */
        void failed(String cause);
    }
}
