package org.rattanport.connectors.caller;

import java.util.Set;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.peer.PeerMessage.ExplainReply;
import org.rattanport.kernel.peer.PeerMessage.ExplainRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.RequestJournal;

/** Handles requests of peers for the explanation of a request that this instance served. */
public final class ExplainPlugin implements Plugin {
    @Override
    public String name() {
        return "explain";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(PeerNetwork.class, RequestJournal.class);
    }

    @Override
    public void start(PluginContext context) {
        RequestJournal journal = context.require(RequestJournal.class);
        context.require(PeerNetwork.class)
                .registerHandler(
                        ExplainRequest.class,
                        request ->
                                new ExplainReply(
                                        journal.explain(new RequestId(request.requestId())).stream()
                                                .toList()));
    }
}
