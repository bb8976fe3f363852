package org.rattanport.connectors.peer;

import java.util.Optional;
import org.rattanport.connectors.peer.protocol.WorkShare;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.peer.PeerMessage;

/** Translates updates about requests at engines. */
final class WorkUpdateCodec {
    private WorkUpdateCodec() {}

    static org.rattanport.connectors.peer.protocol.WorkNews encode(
            PeerMessage.WorkUpdates updates) {
        return org.rattanport.connectors.peer.protocol.WorkNews.newBuilder()
                .addAllNotices(
                        updates.updates().stream().map(WorkUpdateCodec::encodeUpdate).toList())
                .build();
    }

    private static org.rattanport.connectors.peer.protocol.WorkNotice encodeUpdate(
            WorkUpdate update) {
        var builder =
                org.rattanport.connectors.peer.protocol.WorkNotice.newBuilder()
                        .setId(update.attemptId());
        switch (update) {
            case WorkUpdate.Placed placed ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.PLACED)
                            .addAllShares(
                                    placed.work().shares().stream()
                                            .map(WorkUpdateCodec::encodeShare)
                                            .toList())
                            .setFirstEventMillis((float) placed.work().predictedFirstEventMillis())
                            .setAnswerMillis((float) placed.work().predictedDecodeMillis())
                            .setPauseMillis((float) placed.work().maxEventGapMillis())
                            .setWeight((float) placed.work().weight());
            case WorkUpdate.Decoding decoding ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.WRITES);
            case WorkUpdate.Ended ended ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.ENDED);
        }
        return builder.build();
    }

    private static WorkShare encodeShare(EngineShare share) {
        return WorkShare.newBuilder()
                .setEngine(share.engineId())
                .setReadTokens(share.prefillTokens())
                .setReadMillis((float) share.prefillMillis())
                .setHeldTokens(share.memoryTokens())
                .setIsWriter(share.isDecodeEngine())
                .build();
    }

    static PeerMessage.WorkUpdates decode(org.rattanport.connectors.peer.protocol.WorkNews news) {
        return new PeerMessage.WorkUpdates(
                news.getNoticesList().stream()
                        .map(WorkUpdateCodec::decodeNotice)
                        .flatMap(Optional::stream)
                        .toList());
    }

    /** Decodes a notice; one of an unknown kind comes from a newer instance and is ignored. */
    private static Optional<WorkUpdate> decodeNotice(
            org.rattanport.connectors.peer.protocol.WorkNotice notice) {
        return switch (notice.getKind()) {
            case PLACED ->
                    Optional.of(
                            new WorkUpdate.Placed(
                                    new EngineWork(
                                            notice.getId(),
                                            notice.getSharesList().stream()
                                                    .map(WorkUpdateCodec::decodeShare)
                                                    .toList(),
                                            notice.getFirstEventMillis(),
                                            notice.getAnswerMillis(),
                                            notice.getPauseMillis(),
                                            notice.getWeight())));
            case WRITES -> Optional.of(new WorkUpdate.Decoding(notice.getId()));
            case ENDED -> Optional.of(new WorkUpdate.Ended(notice.getId()));
            case UNRECOGNIZED -> Optional.empty();
        };
    }

    private static EngineShare decodeShare(WorkShare share) {
        return new EngineShare(
                share.getEngine(),
                share.getReadTokens(),
                share.getReadMillis(),
                share.getHeldTokens(),
                share.getIsWriter());
    }
}
