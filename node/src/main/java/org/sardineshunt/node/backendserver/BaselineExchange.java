package org.sardineshunt.node.backendserver;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.health.Baseline;
import org.sardineshunt.coordination.health.Baseline.Sample;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.node.peer.PeerClient;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.HealthBaseline;
import org.sardineshunt.protocol.PeerMessages.HealthReport;
import org.sardineshunt.protocol.PeerMessages.ServiceBaseline;
import org.sardineshunt.protocol.PeerMessages.UpstreamSample;

/**
 * Exchanges health samples for the baseline of a service, with which its upstreams are compared across home nodes.
 * Confined to the control thread.
 *
 * <p>One home of each service, the collector, is chosen by rendezvous hashing. It collects the samples of all homes and
 * replies with the group's baseline. Its state isn't handed over: another collector has all samples again within one
 * report period.
 */
final class BaselineExchange {
    private static final long SAMPLE_RETENTION_MILLIS = 3_000;
    private static final int MINIMUM_REQUESTS_PER_SAMPLE = 3;
    private static final long CALL_TIMEOUT_MILLIS = 400;

    private final ControlThread control;
    private final PeerClient peers;
    private final Map<String, Map<String, ReceivedSample>> samplesByService = new HashMap<>();

    BaselineExchange(ControlThread control, PeerClient peers) {
        this.control = control;
        this.peers = peers;
    }

    /**
     * Sends samples to the collectors of their services.
     *
     * @param onBaseline receives each baseline with which a collector replies, on the control thread
     */
    void reportSamples(Collection<UpstreamSample> samples, Consumer<ServiceBaseline> onBaseline) {
        Map<Member, List<UpstreamSample>> byCollector = samples.stream()
                .flatMap(
                        sample -> peers
                                .table()
                                .find(collectorId(sample.getService()))
                                .map(member -> Map.entry(member, sample))
                                .stream())
                .collect(Collectors.groupingBy(
                        Map.Entry::getKey, Collectors.mapping(Map.Entry::getValue, Collectors.toList())));
        byCollector.forEach((member, collectorSamples) -> sendReport(member, collectorSamples, onBaseline));
    }

    /** Records the samples of a home and returns the baselines of their services. */
    HealthBaseline addSamples(HealthReport report) {
        long now = control.nowMillis();
        report.getSamplesList().forEach(sample -> samplesByService
                .computeIfAbsent(sample.getService(), key -> new HashMap<>())
                .put(sample.getUpstreamId(), new ReceivedSample(now, sample)));
        HealthBaseline.Builder reply = HealthBaseline.newBuilder();
        report.getSamplesList().stream()
                .map(UpstreamSample::getService)
                .distinct()
                .map(service -> computeBaseline(now, service))
                .forEach(reply::addBaselines);
        return reply.build();
    }

    private void sendReport(Member member, List<UpstreamSample> samples, Consumer<ServiceBaseline> onBaseline) {
        HealthReport report = HealthReport.newBuilder().addAllSamples(samples).build();
        if (member.nodeId().equals(peers.selfId())) {
            addSamples(report).getBaselinesList().forEach(onBaseline);
            return;
        }
        Envelope message = Envelope.newBuilder().setHealthReport(report).build();
        peers.call(member, message, CALL_TIMEOUT_MILLIS)
                .thenAccept(result -> result.forEach(
                        reply -> reply.getHealthBaseline().getBaselinesList().forEach(onBaseline)));
    }

    private String collectorId(String service) {
        List<String> homes = peers.table().homes(service).stream()
                .filter(Member::isReachable)
                .map(Member::nodeId)
                .toList();
        return homes.isEmpty()
                ? peers.selfId()
                : RendezvousHashing.choose("health/" + service, homes, 1).get(0);
    }

    private ServiceBaseline computeBaseline(long nowMillis, String service) {
        Map<String, ReceivedSample> samples = samplesByService.get(service);
        samples.values().removeIf(entry -> nowMillis - entry.receivedAtMillis() > SAMPLE_RETENTION_MILLIS);
        Baseline baseline = Baseline.of(
                samples.values().stream()
                        .map(ReceivedSample::sample)
                        .map(sample -> new Sample(
                                sample.getRequests(), sample.getFailures(), sample.getMedianLatencyMicros() / 1_000.0))
                        .toList(),
                MINIMUM_REQUESTS_PER_SAMPLE);
        return ServiceBaseline.newBuilder()
                .setService(service)
                .setFailureShare(baseline.failureShare())
                .setMedianLatencyMicros(Math.round(baseline.medianLatencyMillis() * 1_000))
                .setUpstreams(baseline.upstreams())
                .build();
    }

    private record ReceivedSample(long receivedAtMillis, UpstreamSample sample) {}
}
