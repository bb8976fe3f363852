package org.rattanport.connectors.caller;

import java.util.Set;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.peer.PeerMessage.ExplainReply;
import org.rattanport.kernel.peer.PeerMessage.ExplainRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.RequestJournal;

/** Answers peers that ask what happened to a request. */
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
                .handle(
                        ExplainRequest.class,
                        question ->
                                new ExplainReply(
                                        journal
                                                .explain(new RequestId(question.requestId()))
                                                .stream()
                                                .toList()));
    }
}
