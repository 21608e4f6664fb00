package org.sardineshunt.node.backendserver;

import java.util.Collection;
import java.util.List;

import org.sardineshunt.coordination.health.Baseline;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.membership.UpstreamInfo;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.node.peer.MembershipService;
import org.sardineshunt.node.platform.ConfigurationService;
import org.sardineshunt.protocol.PeerMessages.ServiceBaseline;
import org.sardineshunt.protocol.PeerMessages.UpstreamSample;

/**
 * Publishes the upstreams of this node: their state to all nodes, and their health samples to the collectors of their
 * services. Confined to the control thread.
 */
final class UpstreamPublisher {
    private final ControlThread control;
    private final MembershipService membership;
    private final ConfigurationService configuration;
    private final BaselineExchange baselineExchange;
    private final Collection<HomeUpstream> upstreams;

    /**
     * Creates a publisher.
     *
     * @param upstreams live view of the upstreams of this node
     */
    UpstreamPublisher(
            ControlThread control,
            MembershipService membership,
            ConfigurationService configuration,
            BaselineExchange baselineExchange,
            Collection<HomeUpstream> upstreams) {
        this.control = control;
        this.membership = membership;
        this.configuration = configuration;
        this.baselineExchange = baselineExchange;
        this.upstreams = upstreams;
    }

    /** Publishes the state of the upstreams and applies the urgent rank of the intents in force to their queues. */
    void publish() {
        long now = control.nowMillis();
        List<UpstreamInfo> upstreamInfos =
                upstreams.stream().map(upstream -> upstreamInfo(upstream, now)).toList();
        membership.publishUpstreams(upstreamInfos);
        upstreams.forEach(upstream -> upstream.admissionQueue().setUrgentRank(urgentRank(upstream)));
    }

    /** Sends the health samples of the upstreams and adopts the baselines of their services when they arrive. */
    void reportSamples() {
        List<UpstreamSample> samples = upstreams.stream()
                .map(upstream -> {
                    Baseline.Sample sample = upstream.health().sample();
                    return UpstreamSample.newBuilder()
                            .setUpstreamId(upstream.announcement().id())
                            .setService(upstream.announcement().service())
                            .setRequests(sample.requests())
                            .setFailures(sample.failures())
                            .setMedianLatencyMicros(Math.round(sample.medianLatencyMillis() * 1_000))
                            .build();
                })
                .toList();
        baselineExchange.reportSamples(samples, this::adoptBaseline);
    }

    private void adoptBaseline(ServiceBaseline serviceBaseline) {
        Baseline baseline = new Baseline(
                serviceBaseline.getFailureShare(),
                serviceBaseline.getMedianLatencyMicros() / 1_000.0,
                serviceBaseline.getUpstreams());
        upstreams.stream()
                .filter(upstream -> upstream.announcement().service().equals(serviceBaseline.getService()))
                .forEach(upstream -> upstream.health().updateBaseline(baseline));
    }

    private String urgentRank(HomeUpstream upstream) {
        return configuration
                .intents()
                .forService(Intent.Action.URGENT, upstream.announcement().service(), System.currentTimeMillis())
                .map(Intent::argument)
                .getOrElse("");
    }

    private UpstreamInfo upstreamInfo(HomeUpstream upstream, long nowMillis) {
        Announcement announcement = upstream.announcement();
        HealthCondition condition = upstream.health().condition(nowMillis);
        List<String> intentIds =
                configuration
                        .intents()
                        .selecting(upstream.labels(membership.self()), System.currentTimeMillis())
                        .stream()
                        .map(Intent::id)
                        .sorted()
                        .toList();
        return new UpstreamInfo(
                announcement.id(),
                announcement.service(),
                announcement.state().equals("starting") ? 0 : announcement.slots(),
                condition,
                condition == HealthCondition.HEALTHY ? 0 : upstream.health().severity(),
                intentIds,
                announcement.leaving());
    }
}
