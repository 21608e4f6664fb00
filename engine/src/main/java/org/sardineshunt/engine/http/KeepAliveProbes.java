package org.sardineshunt.engine.http;

import java.net.SocketOption;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Enables TCP keep-alive probes, which close a connection whose peer has stopped responding. Thread-safe. */
public final class KeepAliveProbes {
    private static final int IDLE_SECONDS = 1;
    private static final int INTERVAL_SECONDS = 1;
    private static final int MAXIMUM_UNANSWERED_PROBES = 2;

    private KeepAliveProbes() {}

    /** Enables the probes: a connection without any response closes after about 3 s. */
    public static void enable(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        set(channel, ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_SECONDS);
        set(channel, ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_SECONDS);
        set(channel, ExtendedSocketOptions.TCP_KEEPCOUNT, MAXIMUM_UNANSWERED_PROBES);
    }

    private static void set(Channel channel, SocketOption<Integer> option, int value) {
        channel.config().setOption(NioChannelOption.of(option), value);
    }
}
