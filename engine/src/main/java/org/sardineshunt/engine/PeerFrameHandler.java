package org.sardineshunt.engine;

import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.announcement.DepartureRegistry;
import org.sardineshunt.engine.backendserver.HomeService;
import org.sardineshunt.engine.caller.AccountTokens;
import org.sardineshunt.engine.caller.HomeRegistry;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.PeerNetwork;
import org.sardineshunt.engine.peer.UpstreamRecords;
import org.sardineshunt.engine.platform.ConfigurationTracker;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.ConfigurationQuery;
import org.sardineshunt.engine.protocol.EngineMessages.CrashReport;
import org.sardineshunt.engine.protocol.EngineMessages.Departure;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;
import org.sardineshunt.engine.protocol.EngineMessages.TokenRequest;

/**
 * Handles what other nodes send. Confined to the control thread.
 *
 * @param configuration the configuration in force
 * @param accountTokens grants tokens of client accounts
 * @param directory the nodes of the fleet
 * @param homeRegistry what is known of the homes
 * @param home the local home
 * @param homeClient calls the homes of other nodes
 * @param loadReporter reports the load of the local home
 * @param departures the departures that other nodes reported
 */
record PeerFrameHandler(
        EngineContext context,
        ConfigurationTracker configuration,
        AccountTokens accountTokens,
        NodeDirectory directory,
        HomeRegistry homeRegistry,
        HomeService home,
        FleetHomeClient homeClient,
        LoadReporter loadReporter,
        DepartureRegistry departures)
        implements PeerNetwork.FrameHandler {
    @Override
    public Runnable attempt(String nodeId, Attempt attempt, AttemptStreams streams, Consumer<Answer> onAnswer) {
        loadReporter.recordSender(nodeId);
        configuration.recordPeerVersion(nodeId, attempt.getConfigurationVersion());
        return home.attempt(attempt, streams, onAnswer);
    }

    @Override
    public void inquire(Inquiry inquiry, Consumer<Answer> onAnswer) {
        String homeId = inquiry.getHomeNodeId();
        if (homeId.isEmpty() || homeId.equals(context.settings().nodeId())) {
            home.inquire(inquiry, onAnswer);
            return;
        }
        homeClient.relayInquiry(homeId, inquiry, onAnswer);
    }

    @Override
    public Answer recordDeparture(String nodeId, Departure departure) {
        Reason reason = UpstreamRecords.tryDecode(departure.getUpstream())
                .peek(upstream -> departures.record(nodeId, upstream))
                .fold(cause -> Reason.MALFORMED_REQUEST, upstream -> Reason.NONE);
        context.log()
                .event("departure-received")
                .with("peer", nodeId)
                .with("upstream", departure.getUpstream().getId())
                .with("phase", departure.getUpstream().getPhase())
                .with("reason", reason.label())
                .write();
        return Answer.newBuilder().setReason(reason.label()).build();
    }

    @Override
    public Answer findDeparture(String nodeId) {
        Answer.Builder answer = Answer.newBuilder().setReason(Reason.NONE.label());
        departures.find(nodeId).map(UpstreamRecords::encode).ifPresent(answer::setDeparted);
        return answer.build();
    }

    @Override
    public Answer findConfiguration(ConfigurationQuery query) {
        Answer.Builder answer = Answer.newBuilder().setReason(Reason.NONE.label());
        configuration
                .encodedIfNewerThan(query.getKnownVersion())
                .ifPresent(encoded -> answer.setConfiguration(ByteString.copyFrom(encoded)));
        return answer.build();
    }

    @Override
    public void regained(String nodeId) {
        homeClient.sendOwnRecord(directory.node(nodeId).stream());
    }

    @Override
    public void grantTokens(String nodeId, TokenRequest request, Consumer<Answer> onAnswer) {
        accountTokens.handle(nodeId, request, onAnswer);
    }

    @Override
    public void receiveOneWay(String nodeId, Frame frame) {
        if (frame.hasLoad()) {
            homeRegistry.recordLoad(nodeId, frame.getLoad());
            configuration.recordPeerVersion(nodeId, frame.getLoad().getConfigurationVersion());
        } else if (frame.hasNode()) {
            directory.receive(nodeId, frame.getNode());
        } else if (frame.hasCrash()) {
            CrashReport report = frame.getCrash();
            context.crashDetector()
                    .recordCrash(
                            context.control().nowMillis(),
                            String.valueOf(report.getFingerprint()),
                            report.getUpstreamId());
        }
    }
}
