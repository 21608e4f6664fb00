package org.sardineshunt.node.platform;

import java.util.Base64;

import com.google.protobuf.InvalidProtocolBufferException;
import org.sardineshunt.coordination.intent.IntentChange;
import org.sardineshunt.node.peer.MessageCodec;
import org.sardineshunt.protocol.PeerMessages.ChangeRecord;

/** Converts a change of the intents to and from the Base64 text that a row of the table service holds. */
final class ChangeRow {
    private ChangeRow() {}

    static String format(IntentChange change) {
        return Base64.getEncoder().encodeToString(MessageCodec.encode(change).toByteArray());
    }

    static IntentChange parse(String value) {
        try {
            return MessageCodec.decode(
                    ChangeRecord.parseFrom(Base64.getDecoder().decode(value)));
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalArgumentException(
                    "change row is not a valid protobuf message: '" + value + "'", malformed);
        }
    }
}
