package org.rattanport.kernel.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.RateLimitUpdate;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.request.Explanation;

/** A message between instances: a request, its response, or a one-way message. */
public sealed interface PeerMessage {
    /** Probes a member, and carries rumors and the active document versions of the sender. */
    record Ping(Member sender, long trialVersion, long productionVersion, List<Rumor> rumors)
            implements PeerMessage {}

    /** Acknowledges a probe, and carries rumors and the active document versions in turn. */
    record Ack(Member sender, long trialVersion, long productionVersion, List<Rumor> rumors)
            implements PeerMessage {}

    /** Requests that a member probe another member. */
    record IndirectPing(String peerAddress) implements PeerMessage {}

    /** Reports whether the probed member responded. */
    record IndirectAck(boolean isReachable) implements PeerMessage {}

    /** Requests the list of members when an instance joins. */
    record MembersRequest(Member sender) implements PeerMessage {}

    /** The members that the responding instance knows. */
    record MembersReply(List<Member> members) implements PeerMessage {}

    /** Requests the active document version of a stage. */
    record DocumentRequest(Stage stage) implements PeerMessage {}

    /** The active document version: none or one element. */
    record DocumentReply(List<DocumentVersion> versions) implements PeerMessage {}

    /** Requests tokens from the quota owner of the accounts. */
    record QuotaRequest(Stage stage, List<QuotaDemand> demands) implements PeerMessage {}

    /**
     * Tokens of one account that an instance needs for a request, and the amount that it requests.
     */
    record QuotaDemand(String account, long neededTokens, long requestedTokens) {}

    /** The tokens that the quota owner grants, in the order of the demands. */
    record QuotaReply(List<Long> grantedTokens) implements PeerMessage {}

    /** Requests the explanation of a caller's request. */
    record ExplainRequest(String requestId) implements PeerMessage {}

    /** The explanation: none or one element. */
    record ExplainReply(List<Explanation> explanations) implements PeerMessage {}

    /** A message that only gateway instances exchange. */
    sealed interface GatewayMessage extends PeerMessage {}

    /** Carries work updates about requests at engines. */
    record WorkUpdates(List<WorkUpdate> updates) implements GatewayMessage {}

    /**
     * Requests a placement from the coordinator of a group of engines, and carries work updates
     * that it applies first.
     */
    record PlacementRequest(PlacementDemand demand, List<WorkUpdate> updates)
            implements GatewayMessage {}

    /**
     * The placement: none if the group has no usable engine.
     *
     * @param work the work on each engine, the decode engine first
     * @param cost predicted cost in units of the weight of the work
     * @param postponement time after which to ask again, if the work is not placed because it would
     *     be late
     */
    record PlacementReply(Optional<EngineWork> work, double cost, Optional<Duration> postponement)
            implements GatewayMessage {
        /** Creates the reply for work that is placed, or for none. */
        public PlacementReply(Optional<EngineWork> work, double cost) {
            this(work, cost, Optional.empty());
        }
    }

    /** Requests the predicted duration of the prefill work that is pending at an engine. */
    record PendingPrefillRequest(String engineId) implements GatewayMessage {}

    /** The predicted duration in milliseconds. */
    record PendingPrefillReply(long millis) implements GatewayMessage {}

    /**
     * Requests what the store has changed since these versions. The response waits for a change.
     *
     * @param documentVersion version of the sender's routing document
     * @param registryPosition position of the store that the sender's registry is as of
     * @param evacuationPosition position of the store that the sender's evacuations are as of
     * @param maxWaitMillis longest time to wait for a change
     */
    record FleetRequest(
            long documentVersion,
            StorePosition registryPosition,
            StorePosition evacuationPosition,
            long maxWaitMillis)
            implements GatewayMessage {
        /** Creates a request of a sender that has read no evacuations. */
        public FleetRequest(
                long documentVersion, StorePosition registryPosition, long maxWaitMillis) {
            this(documentVersion, registryPosition, StorePosition.UNREAD, maxWaitMillis);
        }
    }

    /** What the store has changed, as far as the responding instance has read it. */
    record FleetReply(FleetUpdate update) implements GatewayMessage {}

    /**
     * Requests a token for one request from the owner of a back end's rate limit.
     *
     * @param known what the sender knows of the limit
     * @param sender instance that wants to write the request
     * @param urgency urgency of the request, 0 for the most urgent
     * @param isForwarded whether another instance than the sender passed the request on
     * @param cold the limit of the back end while it is cold, if the sender knows it to be cold
     */
    record RateLimitRequest(
            RateLimitUpdate known,
            InstanceId sender,
            int urgency,
            boolean isForwarded,
            Optional<ColdLimit> cold)
            implements GatewayMessage {
        /** Creates a request for a token of a back end that is not cold. */
        public RateLimitRequest(
                RateLimitUpdate known, InstanceId sender, int urgency, boolean isForwarded) {
            this(known, sender, urgency, isForwarded, Optional.empty());
        }
    }

    /**
     * The decision of the owner.
     *
     * @param known what the owner knows of the limit
     * @param isGranted whether the sender may write its request now
     * @param waitMillis time after which the sender may ask again
     */
    record RateLimitReply(RateLimitUpdate known, boolean isGranted, long waitMillis)
            implements GatewayMessage {}

    /** Tells the owner of a back end's rate limit that the limit has changed. */
    record RateLimitReport(RateLimitUpdate known) implements GatewayMessage {}

    /** The message was accepted; the response carries no data. */
    record Received() implements PeerMessage {}

    /** The peer has no handler for the message. */
    record Unhandled() implements PeerMessage {}
}
