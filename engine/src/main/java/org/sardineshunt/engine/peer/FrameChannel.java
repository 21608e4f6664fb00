package org.sardineshunt.engine.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Executor;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;
import org.sardineshunt.engine.http.KeepAliveProbes;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/** Sends and receives length-prefixed frames on one connection and passes its events to the control thread. */
final class FrameChannel extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_FIELD_BYTES = 4;

    // Smaller frames are sent even if memory is short: pings, cancellations and refusals end work and free memory.
    private static final int ALWAYS_SENT_BYTES = 16 << 10;

    private final Executor control;
    private final MemoryBudget memory;
    private final Listener listener;
    private Channel channel;
    private MemoryBudget.Holder unsent;

    private FrameChannel(Executor control, MemoryBudget memory, Listener listener) {
        this.control = control;
        this.memory = memory;
        this.listener = listener;
    }

    /** Adds the framing to the pipeline of a new connection; a frame longer than the maximum closes the connection. */
    static void install(
            Channel channel, int maximumFrameBytes, Executor control, MemoryBudget memory, Listener listener) {
        KeepAliveProbes.enable(channel);
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(
                        maximumFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new FrameChannel(control, memory, listener));
    }

    /** Sends a frame; returns false and sends nothing if the memory for it is short. */
    boolean send(Frame frame) {
        int frameBytes = LENGTH_FIELD_BYTES + frame.getSerializedSize();
        boolean reserved = unsent.tryReserve(nowMillis(), frameBytes);
        if (!reserved && frameBytes > ALWAYS_SENT_BYTES) {
            return false;
        }
        ChannelFuture written = channel.writeAndFlush(encode(frame, frameBytes));
        if (reserved) {
            written.addListener(done -> unsent.release(nowMillis(), frameBytes));
        }
        return true;
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        unsent = memory.open(Kind.PEER_LINK, nowMillis(), channel::close);
        control.execute(() -> listener.opened(this));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws InvalidProtocolBufferException {
        Frame frame = decode(message);
        control.execute(() -> listener.received(this, frame));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        unsent.close();
        control.execute(() -> listener.closed(this, "connection closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        control.execute(() -> listener.closed(this, String.valueOf(cause.getMessage())));
        context.close();
    }

    private static ByteBuf encode(Frame frame, int frameBytes) {
        byte[] bytes = new byte[frameBytes];
        ByteBuf buffer = Unpooled.wrappedBuffer(bytes);
        buffer.setInt(0, frameBytes - LENGTH_FIELD_BYTES);
        CodedOutputStream output =
                CodedOutputStream.newInstance(bytes, LENGTH_FIELD_BYTES, frameBytes - LENGTH_FIELD_BYTES);
        try {
            frame.writeTo(output);
            output.checkNoSpaceLeft();
        } catch (IOException unexpected) {
            // An array of the serialized size throws none.
            throw new UncheckedIOException(unexpected);
        }
        return buffer;
    }

    private static Frame decode(ByteBuf message) throws InvalidProtocolBufferException {
        return message.hasArray()
                ? Frame.parser()
                        .parseFrom(
                                message.array(), message.arrayOffset() + message.readerIndex(), message.readableBytes())
                : Frame.parseFrom(ByteBufUtil.getBytes(message));
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Receives the events of a connection on the control thread. */
    interface Listener {
        /** Called when the connection is open. */
        void opened(FrameChannel channel);

        /** Called for each received frame. */
        void received(FrameChannel channel, Frame frame);

        /** Called when the connection has failed or closed; may be called twice for one connection. */
        void closed(FrameChannel channel, String cause);
    }
}
