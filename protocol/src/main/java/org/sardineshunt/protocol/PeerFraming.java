package org.sardineshunt.protocol;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/**
 * Framing of a peer link: each frame is a length field of four bytes, followed by one {@link PeerMessages.Envelope}.
 *
 * <p>A frame that exceeds the limit or can't be decoded raises an exception in the pipeline; the owner of the pipeline
 * closes the link.
 */
public final class PeerFraming {
    /** Protocol version that the first frame of each side of a link must carry. */
    public static final int PROTOCOL_VERSION = 1;

    private static final int LENGTH_FIELD_BYTES = 4;

    private PeerFraming() {}

    /**
     * Adds the decoders and encoders to a pipeline.
     *
     * @param maximumFrameBytes maximum length of an accepted frame, without the length field
     */
    public static void install(ChannelPipeline pipeline, int maximumFrameBytes) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maximumFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(PeerMessages.Envelope.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
