package org.rattanport.connectors.peer;

import org.rattanport.connectors.peer.protocol.Frame;
import org.rattanport.connectors.peer.protocol.PendingPrefillReply;
import org.rattanport.connectors.peer.protocol.PendingPrefillRequest;
import org.rattanport.kernel.peer.PeerMessage;

/** Translates the messages that only gateway instances exchange. */
final class GatewayMessageCodec {
    private GatewayMessageCodec() {}

    /** Sets the body of the frame. */
    static Frame.Builder encode(PeerMessage.GatewayMessage message, Frame.Builder frame) {
        return switch (message) {
            case PeerMessage.WorkUpdates updates ->
                    frame.setWorkNews(WorkUpdateCodec.encode(updates));
            case PeerMessage.PlacementRequest request ->
                    frame.setPlacementRequest(PlacementCodec.encode(request));
            case PeerMessage.PlacementReply reply ->
                    frame.setPlacementReply(PlacementCodec.encode(reply));
            case PeerMessage.PendingPrefillRequest request ->
                    frame.setPendingPrefillRequest(
                            PendingPrefillRequest.newBuilder().setEngine(request.engineId()));
            case PeerMessage.PendingPrefillReply reply ->
                    frame.setPendingPrefillReply(
                            PendingPrefillReply.newBuilder().setMillis((int) reply.millis()));
            case PeerMessage.FleetRequest request ->
                    frame.setFleetRequest(FleetCodec.encode(request));
            case PeerMessage.FleetReply reply -> frame.setFleetReply(FleetCodec.encode(reply));
            case PeerMessage.RateLimitRequest request ->
                    frame.setRateLimitRequest(RateLimitCodec.encode(request));
            case PeerMessage.RateLimitReply reply ->
                    frame.setRateLimitReply(RateLimitCodec.encode(reply));
            case PeerMessage.RateLimitReport report ->
                    frame.setRateLimitReport(RateLimitCodec.encode(report.known()));
        };
    }

    /** Decodes the body of a frame that holds such a message. */
    static PeerMessage decode(Frame frame) {
        return switch (frame.getBodyCase()) {
            case WORK_NEWS -> WorkUpdateCodec.decode(frame.getWorkNews());
            case PLACEMENT_REQUEST -> PlacementCodec.decode(frame.getPlacementRequest());
            case PLACEMENT_REPLY -> PlacementCodec.decode(frame.getPlacementReply());
            case PENDING_PREFILL_REQUEST ->
                    new PeerMessage.PendingPrefillRequest(
                            frame.getPendingPrefillRequest().getEngine());
            case PENDING_PREFILL_REPLY ->
                    new PeerMessage.PendingPrefillReply(frame.getPendingPrefillReply().getMillis());
            case FLEET_REQUEST -> FleetCodec.decode(frame.getFleetRequest());
            case FLEET_REPLY -> FleetCodec.decode(frame.getFleetReply());
            case RATE_LIMIT_REQUEST -> RateLimitCodec.decode(frame.getRateLimitRequest());
            case RATE_LIMIT_REPLY -> RateLimitCodec.decode(frame.getRateLimitReply());
            case RATE_LIMIT_REPORT ->
                    new PeerMessage.RateLimitReport(
                            RateLimitCodec.decode(frame.getRateLimitReport()));
            default ->
                    throw new IllegalArgumentException(
                            "not a message of gateway instances: " + frame.getBodyCase());
        };
    }
}
