package org.rattanport.connectors.peer;

import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.time.Deadline;

/** Provides the network between instances. */
public final class PeerPlugin implements Plugin {
    private Optional<NettyPeerNetwork> mNetwork = Optional.empty();

    @Override
    public String name() {
        return "peers";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.PROMPTS, Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(InstanceSettings.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(PeerNetwork.class, NettyPeerNetwork.class);
    }

    @Override
    public void start(PluginContext context) {
        InstanceSettings settings = context.require(InstanceSettings.class);
        NettyPeerNetwork network =
                new NettyPeerNetwork(settings.peerAddress(), settings.peerSecret(), context.time());
        context.provide(PeerNetwork.class, network);
        context.provide(NettyPeerNetwork.class, network);
        mNetwork = Optional.of(network);
    }

    @Override
    public void stop(Deadline deadline) {
        mNetwork.ifPresent(NettyPeerNetwork::close);
    }
}
