package org.rattanport.connectors.peer;

import java.util.List;
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
                .addAllNotices(encodeUpdates(updates.updates()))
                .build();
    }

    static List<org.rattanport.connectors.peer.protocol.WorkNotice> encodeUpdates(
            List<WorkUpdate> updates) {
        return updates.stream().map(WorkUpdateCodec::encodeUpdate).toList();
    }

    private static org.rattanport.connectors.peer.protocol.WorkNotice encodeUpdate(
            WorkUpdate update) {
        var builder =
                org.rattanport.connectors.peer.protocol.WorkNotice.newBuilder()
                        .setId(update.attemptId());
        switch (update) {
            case WorkUpdate.Placed placed -> {
                return encodeWork(placed.work());
            }
            case WorkUpdate.Decoding decoding ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.WRITES);
            case WorkUpdate.Ended ended ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.ENDED);
            case WorkUpdate.EngineFailed failed ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.FAILED)
                            .addShares(WorkShare.newBuilder().setEngine(failed.engineId()))
                            .setWeight((float) failed.weight());
            case WorkUpdate.EngineSlow slow ->
                    builder.setKind(
                                    org.rattanport.connectors.peer.protocol.WorkNotice.Kind
                                            .SLOWDOWN)
                            .addShares(WorkShare.newBuilder().setEngine(slow.engineId()))
                            .setWeight((float) slow.factor());
        }
        return builder.build();
    }

    static org.rattanport.connectors.peer.protocol.WorkNotice encodeWork(EngineWork work) {
        return org.rattanport.connectors.peer.protocol.WorkNotice.newBuilder()
                .setId(work.attemptId())
                .setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.PLACED)
                .addAllShares(work.shares().stream().map(WorkUpdateCodec::encodeShare).toList())
                .setFirstEventMillis((float) work.predictedFirstEventMillis())
                .setAnswerMillis((float) work.predictedDecodeMillis())
                .setPauseMillis((float) work.maxEventGapMillis())
                .setWeight((float) work.weight())
                .setIsDeferred(work.isDeferred())
                .build();
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
        return new PeerMessage.WorkUpdates(decodeUpdates(news.getNoticesList()));
    }

    static List<WorkUpdate> decodeUpdates(
            List<org.rattanport.connectors.peer.protocol.WorkNotice> notices) {
        return notices.stream()
                .map(WorkUpdateCodec::decodeNotice)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Decodes a notice; one of an unknown kind comes from a newer instance and is ignored. */
    private static Optional<WorkUpdate> decodeNotice(
            org.rattanport.connectors.peer.protocol.WorkNotice notice) {
        return switch (notice.getKind()) {
            case PLACED -> Optional.of(new WorkUpdate.Placed(decodeWork(notice)));
            case WRITES -> Optional.of(new WorkUpdate.Decoding(notice.getId()));
            case ENDED -> Optional.of(new WorkUpdate.Ended(notice.getId()));
            case FAILED ->
                    notice.getSharesList().stream()
                            .findFirst()
                            .map(
                                    share ->
                                            new WorkUpdate.EngineFailed(
                                                    notice.getId(),
                                                    share.getEngine(),
                                                    notice.getWeight()));
            case SLOWDOWN ->
                    notice.getSharesList().stream()
                            .findFirst()
                            .map(
                                    share ->
                                            new WorkUpdate.EngineSlow(
                                                    notice.getId(),
                                                    share.getEngine(),
                                                    notice.getWeight()));
            case UNRECOGNIZED -> Optional.empty();
        };
    }

    static EngineWork decodeWork(org.rattanport.connectors.peer.protocol.WorkNotice notice) {
        return new EngineWork(
                notice.getId(),
                notice.getSharesList().stream().map(WorkUpdateCodec::decodeShare).toList(),
                notice.getFirstEventMillis(),
                notice.getAnswerMillis(),
                notice.getPauseMillis(),
                notice.getWeight(),
                notice.getIsDeferred());
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
