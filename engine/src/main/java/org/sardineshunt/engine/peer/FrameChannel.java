package org.sardineshunt.engine.peer;

import java.util.concurrent.Executor;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.sardineshunt.engine.http.KeepAliveProbes;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/** Sends and receives length-prefixed frames on one connection and passes its events to the control thread. */
final class FrameChannel extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_FIELD_BYTES = 4;

    private final Executor control;
    private final Listener listener;
    private Channel channel;

    private FrameChannel(Executor control, Listener listener) {
        this.control = control;
        this.listener = listener;
    }

    /** Adds the framing to the pipeline of a new connection; a frame longer than the maximum closes the connection. */
    static void install(Channel channel, int maximumFrameBytes, Executor control, Listener listener) {
        KeepAliveProbes.enable(channel);
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(
                        maximumFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new FrameChannel(control, listener));
    }

    void send(Frame frame) {
        byte[] bytes = frame.toByteArray();
        ByteBuf buffer = Unpooled.buffer(LENGTH_FIELD_BYTES + bytes.length);
        buffer.writeInt(bytes.length).writeBytes(bytes);
        channel.writeAndFlush(buffer);
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        control.execute(() -> listener.opened(this));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws InvalidProtocolBufferException {
        Frame frame = Frame.parseFrom(ByteBufUtil.getBytes(message));
        control.execute(() -> listener.received(this, frame));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        control.execute(() -> listener.closed(this, "connection closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        control.execute(() -> listener.closed(this, String.valueOf(cause.getMessage())));
        context.close();
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
