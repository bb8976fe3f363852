package org.rattanport.connectors.peer;

import java.util.Optional;
import org.rattanport.connectors.peer.protocol.WorkShare;
import org.rattanport.kernel.gateway.Share;
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.gateway.WorkNotice;
import org.rattanport.kernel.peer.PeerMessage;

/** Translates updates about requests at engines. */
final class WorkUpdateCodec {
    private WorkUpdateCodec() {}

    static org.rattanport.connectors.peer.protocol.WorkNews encode(PeerMessage.WorkNews update) {
        return org.rattanport.connectors.peer.protocol.WorkNews.newBuilder()
                .addAllNotices(update.notices().stream().map(WorkUpdateCodec::notice).toList())
                .build();
    }

    private static org.rattanport.connectors.peer.protocol.WorkNotice notice(WorkNotice notice) {
        var builder =
                org.rattanport.connectors.peer.protocol.WorkNotice.newBuilder().setId(notice.id());
        switch (notice) {
            case WorkNotice.Placed placed ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.PLACED)
                            .addAllShares(
                                    placed.work().shares().stream()
                                            .map(WorkUpdateCodec::share)
                                            .toList())
                            .setFirstEventMillis((float) placed.work().firstEventMillis())
                            .setAnswerMillis((float) placed.work().answerMillis())
                            .setPauseMillis((float) placed.work().pauseMillis())
                            .setWeight((float) placed.work().weight());
            case WorkNotice.Writes writes ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.WRITES);
            case WorkNotice.Ended ended ->
                    builder.setKind(org.rattanport.connectors.peer.protocol.WorkNotice.Kind.ENDED);
        }
        return builder.build();
    }

    private static WorkShare share(Share share) {
        return WorkShare.newBuilder()
                .setEngine(share.engine())
                .setReadTokens(share.readTokens())
                .setReadMillis((float) share.readMillis())
                .setHeldTokens(share.heldTokens())
                .setIsWriter(share.isWriter())
                .build();
    }

    static PeerMessage.WorkNews decode(org.rattanport.connectors.peer.protocol.WorkNews update) {
        return new PeerMessage.WorkNews(
                update.getNoticesList().stream()
                        .map(WorkUpdateCodec::notice)
                        .flatMap(Optional::stream)
                        .toList());
    }

    /** Decodes a notice; one of an unknown kind comes from a newer instance and is ignored. */
    private static Optional<WorkNotice> notice(
            org.rattanport.connectors.peer.protocol.WorkNotice notice) {
        return switch (notice.getKind()) {
            case PLACED ->
                    Optional.of(
                            new WorkNotice.Placed(
                                    new Work(
                                            notice.getId(),
                                            notice.getSharesList().stream()
                                                    .map(WorkUpdateCodec::share)
                                                    .toList(),
                                            notice.getFirstEventMillis(),
                                            notice.getAnswerMillis(),
                                            notice.getPauseMillis(),
                                            notice.getWeight())));
            case WRITES -> Optional.of(new WorkNotice.Writes(notice.getId()));
            case ENDED -> Optional.of(new WorkNotice.Ended(notice.getId()));
            case UNRECOGNIZED -> Optional.empty();
        };
    }

    private static Share share(WorkShare share) {
        return new Share(
                share.getEngine(),
                share.getReadTokens(),
                share.getReadMillis(),
                share.getHeldTokens(),
                share.getIsWriter());
    }
}
