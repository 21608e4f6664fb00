package org.sardineshunt.engine.http;

/**
 * A body, or the rest of one, that is passed on while it arrives.
 *
 * @param pipe passes the bytes on
 * @param length length of the whole body; {@link #UNKNOWN_LENGTH} if it was not stated
 */
public record StreamedBody(BodyPipe pipe, long length) {
    /** Length of a body whose sender did not state it. */
    public static final long UNKNOWN_LENGTH = -1;

    /** Requests with a longer body are passed on while they arrive. */
    public static final int REQUEST_THRESHOLD_BYTES = 512 << 10;

    /** Responses with a longer body are passed on while they arrive. */
    public static final int RESPONSE_THRESHOLD_BYTES = 1 << 20;
}
