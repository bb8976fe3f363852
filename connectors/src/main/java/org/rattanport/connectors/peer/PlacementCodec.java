package org.rattanport.connectors.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.rattanport.connectors.peer.protocol.PlacementReply;
import org.rattanport.connectors.peer.protocol.PlacementRequest;
import org.rattanport.connectors.peer.protocol.PromptPart;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.peer.PeerMessage;

/** Translates requests for placements and their responses. */
final class PlacementCodec {
    private PlacementCodec() {}

    static PlacementRequest encode(PeerMessage.PlacementRequest request) {
        PlacementDemand demand = request.demand();
        PlacementRequest.Builder builder =
                PlacementRequest.newBuilder()
                        .setAttemptId(demand.attemptId())
                        .setService(demand.service())
                        .setGroupIndex(demand.group().index())
                        .setGroupCount(demand.group().count())
                        .setObjectiveMillis((int) demand.objective().toMillis())
                        .setMaxEventGapMillis((int) demand.maxEventGap().toMillis())
                        .addAllExcluded(demand.excluded())
                        .setWaitedMillis((int) demand.waited().toMillis())
                        .setMayWait(demand.mayWait())
                        .addAllNotices(WorkUpdateCodec.encodeUpdates(request.updates()));
        demand.size()
                .ifPresent(
                        size ->
                                builder.setPromptTokens(size.promptTokens())
                                        .setMaxOutputTokens(size.maxOutputTokens()));
        demand.parts().stream().map(PlacementCodec::encode).forEach(builder::addParts);
        return builder.build();
    }

    private static PromptPart encode(org.rattanport.kernel.gateway.PromptPart part) {
        return PromptPart.newBuilder().setId(part.id()).setTokens(part.tokens()).build();
    }

    private static org.rattanport.kernel.gateway.PromptPart decode(PromptPart part) {
        return new org.rattanport.kernel.gateway.PromptPart(part.getId(), part.getTokens());
    }

    static PeerMessage.PlacementRequest decode(PlacementRequest request) {
        return new PeerMessage.PlacementRequest(
                new PlacementDemand(
                        request.getAttemptId(),
                        request.getService(),
                        new EngineGroup(request.getGroupIndex(), request.getGroupCount()),
                        request.hasPromptTokens()
                                ? Optional.of(
                                        new PromptSize(
                                                request.getPromptTokens(),
                                                request.getMaxOutputTokens()))
                                : Optional.empty(),
                        Duration.ofMillis(request.getObjectiveMillis()),
                        Duration.ofMillis(request.getMaxEventGapMillis()),
                        request.getPartsList().stream().map(PlacementCodec::decode).toList(),
                        Set.copyOf(request.getExcludedList()),
                        Duration.ofMillis(request.getWaitedMillis()),
                        request.getMayWait()),
                WorkUpdateCodec.decodeUpdates(request.getNoticesList()));
    }

    static PlacementReply encode(PeerMessage.PlacementReply reply) {
        PlacementReply.Builder builder = PlacementReply.newBuilder().setCost((float) reply.cost());
        reply.work().map(WorkUpdateCodec::encodeWork).ifPresent(builder::setWork);
        reply.postponement()
                .ifPresent(delay -> builder.setPostponementMillis((int) delay.toMillis()));
        return builder.build();
    }

    static PeerMessage.PlacementReply decode(PlacementReply reply) {
        return new PeerMessage.PlacementReply(
                reply.hasWork()
                        ? Optional.of(WorkUpdateCodec.decodeWork(reply.getWork()))
                        : Optional.empty(),
                reply.getCost(),
                reply.hasPostponementMillis()
                        ? Optional.of(Duration.ofMillis(reply.getPostponementMillis()))
                        : Optional.empty());
    }
}
