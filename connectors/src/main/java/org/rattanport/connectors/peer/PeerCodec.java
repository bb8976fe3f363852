package org.rattanport.connectors.peer;

import java.util.List;
import java.util.Optional;
import org.rattanport.connectors.json.JsonRowCodec;
import org.rattanport.connectors.peer.protocol.Frame;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.request.Explanation;

/** Translates between the messages of instances and the frames of the peer protocol. */
final class PeerCodec {
    private final JsonRowCodec mRowCodec = new JsonRowCodec();

    /** Encodes a message as the body of a frame. */
    Frame.Builder encode(PeerMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        return switch (message) {
            case PeerMessage.Ping ping ->
                    frame.setPing(
                            probe(
                                    ping.sender(),
                                    ping.trialVersion(),
                                    ping.productionVersion(),
                                    ping.rumors()));
            case PeerMessage.Ack ack ->
                    frame.setAck(
                            probe(
                                    ack.sender(),
                                    ack.trialVersion(),
                                    ack.productionVersion(),
                                    ack.rumors()));
            case PeerMessage.IndirectPing ping ->
                    frame.setIndirectPing(
                            org.rattanport.connectors.peer.protocol.IndirectPing.newBuilder()
                                    .setPeerAddress(ping.peerAddress()));
            case PeerMessage.IndirectAck ack ->
                    frame.setIndirectAck(
                            org.rattanport.connectors.peer.protocol.IndirectAck.newBuilder()
                                    .setIsReached(ack.isReachable()));
            case PeerMessage.MembersRequest request ->
                    frame.setMembersRequest(member(request.sender()));
            case PeerMessage.MembersReply reply -> frame.setMembersReply(members(reply));
            case PeerMessage.DocumentRequest request ->
                    frame.setDocumentRequest(
                            org.rattanport.connectors.peer.protocol.DocumentRequest.newBuilder()
                                    .setStage(request.stage().wireName()));
            case PeerMessage.DocumentReply reply ->
                    frame.setDocumentReply(
                            org.rattanport.connectors.peer.protocol.DocumentReply.newBuilder()
                                    .addAllVersions(
                                            reply.versions().stream()
                                                    .map(mRowCodec::encode)
                                                    .map(GzipCodec::compress)
                                                    .toList()));
            case PeerMessage.QuotaRequest request -> frame.setQuotaRequest(quotaRequest(request));
            case PeerMessage.QuotaReply reply ->
                    frame.setQuotaReply(
                            org.rattanport.connectors.peer.protocol.QuotaReply.newBuilder()
                                    .addAllGrantedTokens(reply.grantedTokens()));
            case PeerMessage.ExplainRequest request ->
                    frame.setExplainRequest(
                            org.rattanport.connectors.peer.protocol.ExplainRequest.newBuilder()
                                    .setRequestId(request.requestId()));
            case PeerMessage.ExplainReply reply -> frame.setExplainReply(explanations(reply));
            case PeerMessage.GatewayMessage gatewayMessage ->
                    GatewayMessageCodec.encode(gatewayMessage, frame);
            case PeerMessage.Received ignored ->
                    frame.setReceived(
                            org.rattanport.connectors.peer.protocol.Received.getDefaultInstance());
            case PeerMessage.Unhandled ignored ->
                    frame.setUnhandled(
                            org.rattanport.connectors.peer.protocol.Unhandled.getDefaultInstance());
        };
    }

    /** Decodes the message of a frame; empty when the frame holds no known message. */
    Optional<PeerMessage> decode(Frame frame) {
        return Optional.ofNullable(
                switch (frame.getBodyCase()) {
                    case PING ->
                            new PeerMessage.Ping(
                                    member(frame.getPing().getSender()),
                                    frame.getPing().getTrialVersion(),
                                    frame.getPing().getProductionVersion(),
                                    rumors(frame.getPing()));
                    case ACK ->
                            new PeerMessage.Ack(
                                    member(frame.getAck().getSender()),
                                    frame.getAck().getTrialVersion(),
                                    frame.getAck().getProductionVersion(),
                                    rumors(frame.getAck()));
                    case INDIRECT_PING ->
                            new PeerMessage.IndirectPing(frame.getIndirectPing().getPeerAddress());
                    case INDIRECT_ACK ->
                            new PeerMessage.IndirectAck(frame.getIndirectAck().getIsReached());
                    case MEMBERS_REQUEST ->
                            new PeerMessage.MembersRequest(member(frame.getMembersRequest()));
                    case MEMBERS_REPLY ->
                            new PeerMessage.MembersReply(
                                    frame.getMembersReply().getMembersList().stream()
                                            .map(PeerCodec::member)
                                            .toList());
                    case DOCUMENT_REQUEST ->
                            new PeerMessage.DocumentRequest(
                                    Stage.parse(frame.getDocumentRequest().getStage())
                                            .orElse(Stage.PRODUCTION));
                    case DOCUMENT_REPLY -> documents(frame.getDocumentReply());
                    case QUOTA_REQUEST -> quotaRequest(frame.getQuotaRequest());
                    case QUOTA_REPLY ->
                            new PeerMessage.QuotaReply(
                                    List.copyOf(frame.getQuotaReply().getGrantedTokensList()));
                    case EXPLAIN_REQUEST ->
                            new PeerMessage.ExplainRequest(
                                    frame.getExplainRequest().getRequestId());
                    case EXPLAIN_REPLY -> explanations(frame.getExplainReply());
                    case WORK_NEWS,
                            PLACEMENT_REQUEST,
                            PLACEMENT_REPLY,
                            PENDING_PREFILL_REQUEST,
                            PENDING_PREFILL_REPLY,
                            FLEET_REQUEST,
                            FLEET_REPLY,
                            RATE_LIMIT_REQUEST,
                            RATE_LIMIT_REPLY,
                            RATE_LIMIT_REPORT ->
                            GatewayMessageCodec.decode(frame);
                    case RECEIVED -> new PeerMessage.Received();
                    case UNHANDLED -> new PeerMessage.Unhandled();
                    case HANDSHAKE, BODY_NOT_SET -> null;
                });
    }

    private PeerMessage.DocumentReply documents(
            org.rattanport.connectors.peer.protocol.DocumentReply reply) {
        return new PeerMessage.DocumentReply(
                reply.getVersionsList().stream()
                        .map(GzipCodec::decompress)
                        .map(row -> mRowCodec.decode(row, DocumentVersion.class))
                        .toList());
    }

    private static org.rattanport.connectors.peer.protocol.MembersReply members(
            PeerMessage.MembersReply reply) {
        return org.rattanport.connectors.peer.protocol.MembersReply.newBuilder()
                .addAllMembers(reply.members().stream().map(PeerCodec::member).toList())
                .build();
    }

    private static org.rattanport.connectors.peer.protocol.Probe probe(
            Member sender, long trial, long production, List<Rumor> rumors) {
        return org.rattanport.connectors.peer.protocol.Probe.newBuilder()
                .setSender(member(sender))
                .setTrialVersion(trial)
                .setProductionVersion(production)
                .addAllRumors(rumors.stream().map(PeerCodec::rumor).toList())
                .build();
    }

    private static org.rattanport.connectors.peer.protocol.Member member(Member member) {
        return org.rattanport.connectors.peer.protocol.Member.newBuilder()
                .setName(member.id().name())
                .setIncarnation(member.id().incarnation())
                .setCallerAddress(member.callerAddress())
                .setPeerAddress(member.peerAddress())
                .setDataCentre(member.dataCentre())
                .setState(member.state().ordinal())
                .setStateNumber(member.stateNumber())
                .setCapacityMillicores(member.capacityMillicores())
                .build();
    }

    private static Member member(org.rattanport.connectors.peer.protocol.Member member) {
        MemberState[] states = MemberState.values();
        return new Member(
                new InstanceId(member.getName(), member.getIncarnation()),
                member.getCallerAddress(),
                member.getPeerAddress(),
                member.getDataCentre(),
                states[Math.clamp(member.getState(), 0, states.length - 1)],
                member.getStateNumber(),
                member.getCapacityMillicores());
    }

    private static org.rattanport.connectors.peer.protocol.Rumor rumor(Rumor rumor) {
        var builder = org.rattanport.connectors.peer.protocol.Rumor.newBuilder();
        return switch (rumor) {
            case Rumor.MemberRumor memberRumor ->
                    builder.setMember(member(memberRumor.member())).build();
            case Rumor.TargetDraining draining ->
                    builder.setTargetLeaving(target(draining.target())).build();
            case Rumor.RequestSuspected suspected ->
                    builder.setSuspected(
                                    org.rattanport.connectors.peer.protocol.Suspected.newBuilder()
                                            .setFingerprint(suspected.fingerprint().value())
                                            .setTarget(target(suspected.target())))
                            .build();
            case Rumor.SuspicionWithdrawn withdrawn ->
                    builder.setSuspected(
                                    org.rattanport.connectors.peer.protocol.Suspected.newBuilder()
                                            .setFingerprint(withdrawn.fingerprint().value())
                                            .setTarget(noTarget(withdrawn.observation())))
                            .build();
        };
    }

    private static List<Rumor> rumors(org.rattanport.connectors.peer.protocol.Probe probe) {
        return probe.getRumorsList().stream()
                .map(PeerCodec::rumor)
                .flatMap(Optional::stream)
                .toList();
    }

    private static Optional<Rumor> rumor(org.rattanport.connectors.peer.protocol.Rumor rumor) {
        return Optional.ofNullable(
                switch (rumor.getKindCase()) {
                    case MEMBER -> new Rumor.MemberRumor(member(rumor.getMember()));
                    case TARGET_LEAVING ->
                            new Rumor.TargetDraining(target(rumor.getTargetLeaving()));
                    case SUSPECTED -> suspicion(rumor.getSuspected());
                    case KIND_NOT_SET -> null;
                });
    }

    /** A suspicion without the name of a target is a withdrawal. */
    private static Rumor suspicion(org.rattanport.connectors.peer.protocol.Suspected suspected) {
        Fingerprint fingerprint = new Fingerprint(suspected.getFingerprint());
        TargetId target = target(suspected.getTarget());
        return target.name().isEmpty()
                ? new Rumor.SuspicionWithdrawn(fingerprint, target.incarnation())
                : new Rumor.RequestSuspected(fingerprint, target);
    }

    private static org.rattanport.connectors.peer.protocol.Target noTarget(long observation) {
        return org.rattanport.connectors.peer.protocol.Target.newBuilder()
                .setIncarnation(observation)
                .build();
    }

    private static org.rattanport.connectors.peer.protocol.Target target(TargetId target) {
        return org.rattanport.connectors.peer.protocol.Target.newBuilder()
                .setName(target.name())
                .setIncarnation(target.incarnation())
                .build();
    }

    private static TargetId target(org.rattanport.connectors.peer.protocol.Target target) {
        return new TargetId(target.getName(), target.getIncarnation());
    }

    private static org.rattanport.connectors.peer.protocol.QuotaRequest quotaRequest(
            PeerMessage.QuotaRequest request) {
        return org.rattanport.connectors.peer.protocol.QuotaRequest.newBuilder()
                .setStage(request.stage().wireName())
                .addAllDemands(
                        request.demands().stream()
                                .map(
                                        each ->
                                                org.rattanport.connectors.peer.protocol.QuotaDemand
                                                        .newBuilder()
                                                        .setAccount(each.account())
                                                        .setNeededTokens(each.neededTokens())
                                                        .setWantedTokens(each.requestedTokens())
                                                        .build())
                                .toList())
                .build();
    }

    private static PeerMessage.QuotaRequest quotaRequest(
            org.rattanport.connectors.peer.protocol.QuotaRequest request) {
        return new PeerMessage.QuotaRequest(
                Stage.parse(request.getStage()).orElse(Stage.PRODUCTION),
                request.getDemandsList().stream()
                        .map(
                                each ->
                                        new PeerMessage.QuotaDemand(
                                                each.getAccount(),
                                                each.getNeededTokens(),
                                                each.getWantedTokens()))
                        .toList());
    }

    private static org.rattanport.connectors.peer.protocol.ExplainReply explanations(
            PeerMessage.ExplainReply reply) {
        return org.rattanport.connectors.peer.protocol.ExplainReply.newBuilder()
                .addAllExplanations(
                        reply.explanations().stream().map(PeerCodec::explanation).toList())
                .build();
    }

    private static org.rattanport.connectors.peer.protocol.Explanation explanation(
            Explanation explanation) {
        return org.rattanport.connectors.peer.protocol.Explanation.newBuilder()
                .setRequestId(explanation.id().value())
                .addAllSteps(
                        explanation.steps().stream()
                                .map(
                                        step ->
                                                org.rattanport.connectors.peer.protocol.Step
                                                        .newBuilder()
                                                        .setAtMillis(step.atMillis())
                                                        .setWhat(step.what())
                                                        .build())
                                .toList())
                .build();
    }

    private static PeerMessage.ExplainReply explanations(
            org.rattanport.connectors.peer.protocol.ExplainReply reply) {
        return new PeerMessage.ExplainReply(
                reply.getExplanationsList().stream()
                        .map(
                                each ->
                                        new Explanation(
                                                new RequestId(each.getRequestId()),
                                                each.getStepsList().stream()
                                                        .map(
                                                                step ->
                                                                        new Explanation.Step(
                                                                                step.getAtMillis(),
                                                                                step.getWhat()))
                                                        .toList()))
                        .toList());
    }
}
