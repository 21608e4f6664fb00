package org.sardineshunt.node.peer;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.vavr.control.Option;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.IntentChange;
import org.sardineshunt.coordination.intent.IntentSet;
import org.sardineshunt.coordination.intent.LabelSelector;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.membership.UpstreamInfo;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.protocol.PeerMessages.ChangeRecord;
import org.sardineshunt.protocol.PeerMessages.ConfigurationSnapshot;
import org.sardineshunt.protocol.PeerMessages.IntentRecord;
import org.sardineshunt.protocol.PeerMessages.MemberRecord;
import org.sardineshunt.protocol.PeerMessages.SelectorTerm;
import org.sardineshunt.protocol.PeerMessages.UpstreamSummary;

/**
 * Converts between protobuf messages of peer links and the types of the coordination library.
 *
 * <p>Names that recur in many records, such as service names, are interned, which saves about a quarter of the memory
 * of thousands of member records. Enum constants are sent by ordinal, except the action of an intent.
 */
public final class MessageCodec {
    private MessageCodec() {}

    /** Encodes a member. */
    public static MemberRecord encode(Member member) {
        MemberRecord.Builder record = MemberRecord.newBuilder()
                .setNodeId(member.nodeId())
                .setIncarnation(member.incarnation())
                .setVersion(member.version())
                .setState(member.state().ordinal())
                .setHost(member.endpoint().host())
                .setPeerPort(member.endpoint().peerPort())
                .setOperatorPort(member.endpoint().operatorPort())
                .setDataCentre(member.location().dataCentre())
                .setRegion(member.location().region())
                .setSuccessor(member.successor());
        member.upstreams().stream().map(MessageCodec::encode).forEach(record::addUpstreams);
        return record.build();
    }

    /** Decodes a member. */
    public static Member decode(MemberRecord record) {
        return new Member(
                record.getNodeId(),
                record.getIncarnation(),
                record.getVersion(),
                Member.State.ofOrdinal(record.getState()),
                new Member.Endpoint(record.getHost(), record.getPeerPort(), record.getOperatorPort()),
                new Member.Location(
                        record.getDataCentre().intern(), record.getRegion().intern()),
                record.getSuccessor(),
                record.getUpstreamsList().stream().map(MessageCodec::decode).toList());
    }

    /** Encodes a change of the intents. */
    public static ChangeRecord encode(IntentChange change) {
        ChangeRecord.Builder record = ChangeRecord.newBuilder()
                .setRevision(change.revision())
                .setChangeId(change.changeId())
                .setAuthor(change.author())
                .setReason(change.reason())
                .setAcceptedEpochMillis(change.acceptedEpochMillis());
        change.put().map(MessageCodec::encode).forEach(record::setPut);
        change.removedId().forEach(record::setRemovedId);
        return record.build();
    }

    /** Decodes a change; throws {@link IllegalArgumentException} if its intent has an unknown action. */
    public static IntentChange decode(ChangeRecord record) {
        return new IntentChange(
                record.getRevision(),
                record.getChangeId(),
                record.getAuthor(),
                record.getReason(),
                record.getAcceptedEpochMillis(),
                record.hasPut() ? Option.some(decode(record.getPut())) : Option.none(),
                record.getRemovedId().isEmpty() ? Option.none() : Option.some(record.getRemovedId()));
    }

    /** Encodes all intents and their revision. */
    public static ConfigurationSnapshot encode(IntentSet intents) {
        ConfigurationSnapshot.Builder snapshot =
                ConfigurationSnapshot.newBuilder().setRevision(intents.revision());
        intents.all().stream().map(MessageCodec::encode).forEach(snapshot::addIntents);
        return snapshot.build();
    }

    /** Decodes a snapshot; throws {@link IllegalArgumentException} if an intent has an unknown action. */
    public static IntentSet decode(ConfigurationSnapshot snapshot) {
        return IntentSet.of(
                snapshot.getRevision(),
                snapshot.getIntentsList().stream().map(MessageCodec::decode).toList());
    }

    private static IntentRecord encode(Intent intent) {
        IntentRecord.Builder record = IntentRecord.newBuilder()
                .setId(intent.id())
                .setAction(intent.action().label())
                .setArgument(intent.argument())
                .setAuthor(intent.author())
                .setReason(intent.reason())
                .setCreatedEpochMillis(intent.createdEpochMillis())
                .setEndsEpochMillis(intent.endsEpochMillis())
                .setRevision(intent.revision());
        intent.selector()
                .terms()
                .forEach((label, values) -> record.addSelector(
                        SelectorTerm.newBuilder().setLabel(label).addAllValues(values)));
        return record.build();
    }

    private static Intent decode(IntentRecord record) {
        Map<String, Set<String>> terms = new TreeMap<>();
        record.getSelectorList().forEach(term -> terms.put(term.getLabel(), new TreeSet<>(term.getValuesList())));
        return new Intent(
                record.getId(),
                Intent.Action.ofLabel(record.getAction())
                        .getOrElseThrow((String error) -> new IllegalArgumentException(error)),
                record.getArgument(),
                new LabelSelector(terms),
                record.getAuthor(),
                record.getReason(),
                record.getCreatedEpochMillis(),
                record.getEndsEpochMillis(),
                record.getRevision());
    }

    private static UpstreamSummary encode(UpstreamInfo upstream) {
        return UpstreamSummary.newBuilder()
                .setUpstreamId(upstream.id())
                .setService(upstream.service())
                .setSlots(upstream.slots())
                .setCondition(upstream.condition().ordinal())
                .setSeverity(upstream.severity())
                .addAllIntentIds(upstream.intentIds())
                .setLeaving(upstream.leaving())
                .build();
    }

    private static UpstreamInfo decode(UpstreamSummary summary) {
        return new UpstreamInfo(
                summary.getUpstreamId(),
                summary.getService().intern(),
                summary.getSlots(),
                HealthCondition.ofOrdinal(summary.getCondition()),
                summary.getSeverity(),
                summary.getIntentIdsList(),
                summary.getLeaving());
    }
}
