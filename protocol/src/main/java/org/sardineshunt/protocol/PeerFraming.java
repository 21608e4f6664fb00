package org.sardineshunt.protocol;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/**
 * Framing of a peer link: a length of four bytes, then one {@link PeerMessages.Envelope}.
 *
 * <p>A frame over the limit or one that can't be decoded raises an exception in the pipeline; its owner closes the link.
 */
public final class PeerFraming {
    /** Version that both ends of a link must name in their first frame. */
    public static final int PROTOCOL_VERSION = 1;

    private static final int LENGTH_FIELD_BYTES = 4;

    private PeerFraming() {}

    /**
     * Adds the codecs to a pipeline.
     *
     * @param maximumFrameBytes longest accepted frame, without its length
     */
    public static void install(ChannelPipeline pipeline, int maximumFrameBytes) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maximumFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(PeerMessages.Envelope.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
