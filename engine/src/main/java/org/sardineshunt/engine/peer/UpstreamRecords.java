package org.sardineshunt.engine.peer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.protocol.EngineMessages.UpstreamRecord;

/** Converts announcements to and from the messages that nodes store and exchange. */
public final class UpstreamRecords {
    private UpstreamRecords() {}

    /** Returns the message of an announcement. */
    public static UpstreamRecord encode(Announcement announcement) {
        return UpstreamRecord.newBuilder()
                .setId(announcement.id())
                .setBorn(announcement.startedEpochMillis())
                .setSequence(announcement.sequence())
                .setService(announcement.service())
                .setSlots(announcement.slots())
                .setPhase(announcement.phase().ordinal())
                .build();
    }

    /** Returns the announcement of a message, or why it is none. */
    public static Either<String, Announcement> tryDecode(UpstreamRecord upstream) {
        try {
            return Either.right(decode(upstream));
        } catch (IllegalArgumentException malformed) {
            return Either.left(malformed.getMessage());
        }
    }

    /**
     * Returns the announcement of a message.
     *
     * @throws IllegalArgumentException if the message has less than one slot
     */
    static Announcement decode(UpstreamRecord upstream) {
        return new Announcement(
                upstream.getId(),
                upstream.getBorn(),
                upstream.getSequence(),
                upstream.getService(),
                upstream.getSlots(),
                Phase.ofOrdinal(upstream.getPhase()),
                0);
    }
}
