package org.rattanport.connectors.peer;

import java.time.Duration;
import java.util.Optional;
import org.rattanport.connectors.peer.protocol.RateLimitReply;
import org.rattanport.connectors.peer.protocol.RateLimitRequest;
import org.rattanport.connectors.peer.protocol.RateLimitUpdate;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.PeerMessage;

/** Translates the messages about the rate limits of back ends. */
final class RateLimitCodec {
    private RateLimitCodec() {}

    static RateLimitRequest encode(PeerMessage.RateLimitRequest request) {
        RateLimitRequest.Builder builder =
                RateLimitRequest.newBuilder()
                        .setKnown(encode(request.known()))
                        .setSenderName(request.sender().name())
                        .setSenderIncarnation(request.sender().incarnation())
                        .setUrgency(request.urgency())
                        .setIsForwarded(request.isForwarded());
        request.cold()
                .ifPresent(
                        cold ->
                                builder.setColdRequestsPerSecond(cold.requestsPerSecond())
                                        .setColdLeftMillis(millis(cold.left())));
        return builder.build();
    }

    static PeerMessage.RateLimitRequest decode(RateLimitRequest request) {
        return new PeerMessage.RateLimitRequest(
                decode(request.getKnown()),
                new InstanceId(request.getSenderName(), request.getSenderIncarnation()),
                request.getUrgency(),
                request.getIsForwarded(),
                request.hasColdRequestsPerSecond() && request.getColdRequestsPerSecond() > 0
                        ? Optional.of(
                                new ColdLimit(
                                        request.getColdRequestsPerSecond(),
                                        Duration.ofMillis(
                                                Integer.toUnsignedLong(
                                                        request.getColdLeftMillis()))))
                        : Optional.empty());
    }

    /** Returns the time in milliseconds as far as its field can hold it. */
    static int millis(Duration duration) {
        return (int) Math.clamp(duration.toMillis(), 0, Integer.MAX_VALUE);
    }

    static RateLimitReply encode(PeerMessage.RateLimitReply reply) {
        return RateLimitReply.newBuilder()
                .setKnown(encode(reply.known()))
                .setIsGranted(reply.isGranted())
                .setWaitMillis((int) reply.waitMillis())
                .build();
    }

    static PeerMessage.RateLimitReply decode(RateLimitReply reply) {
        return new PeerMessage.RateLimitReply(
                decode(reply.getKnown()), reply.getIsGranted(), reply.getWaitMillis());
    }

    static RateLimitUpdate encode(org.rattanport.kernel.gateway.RateLimitUpdate update) {
        RateLimitUpdate.Builder builder =
                RateLimitUpdate.newBuilder()
                        .setBackEnd(update.backEndId())
                        .setStartWallMillis(update.startWallMillis())
                        .setSource(update.source())
                        .setNumber(update.number())
                        .setAgeMillis(Math.max(0, update.age().toMillis()));
        update.limit().ifPresent(limit -> builder.setRequestsPerSecond(limit.requestsPerSecond()));
        return builder.build();
    }

    static org.rattanport.kernel.gateway.RateLimitUpdate decode(RateLimitUpdate update) {
        return new org.rattanport.kernel.gateway.RateLimitUpdate(
                update.getBackEnd(),
                update.getStartWallMillis(),
                update.hasRequestsPerSecond()
                        ? RateLimit.of(update.getRequestsPerSecond())
                        : Optional.empty(),
                update.getSource(),
                update.getNumber(),
                Duration.ofMillis(update.getAgeMillis()));
    }
}
