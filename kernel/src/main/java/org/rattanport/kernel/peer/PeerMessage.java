package org.rattanport.kernel.peer;

import java.util.List;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.gateway.WorkNotice;
import org.rattanport.kernel.request.Explanation;

/** What instances say to each other; each message is a question or its answer. */
public sealed interface PeerMessage {
    /** Probes a member, and passes on rumors and the versions in force. */
    record Ping(Member sender, long trialVersion, long productionVersion, List<Rumor> rumors)
            implements PeerMessage {}

    /** Answers a probe in kind. */
    record Ack(Member sender, long trialVersion, long productionVersion, List<Rumor> rumors)
            implements PeerMessage {}

    /** Asks a member to probe another one. */
    record IndirectPing(String peerAddress) implements PeerMessage {}

    /** Whether the probed member answered. */
    record IndirectAck(boolean isReached) implements PeerMessage {}

    /** Asks for all known members, on joining. */
    record MembersRequest(Member sender) implements PeerMessage {}

    /** All known members. */
    record MembersReply(List<Member> members) implements PeerMessage {}

    /** Asks for the version in force. */
    record DocumentRequest(Stage stage) implements PeerMessage {}

    /** Tells the versions in force: none or one. */
    record DocumentReply(List<DocumentVersion> versions) implements PeerMessage {}

    /** Asks the quota owner of accounts for tokens. */
    record QuotaRequest(Stage stage, List<QuotaDemand> demands) implements PeerMessage {}

    /** Tokens of one account that an instance needs for a request, and would like to get. */
    record QuotaDemand(String account, long neededTokens, long wantedTokens) {}

    /** The owner's grants, in the order of the demands. */
    record QuotaReply(List<Long> grantedTokens) implements PeerMessage {}

    /** Asks for the explanation of a request. */
    record ExplainRequest(String requestId) implements PeerMessage {}

    /** The explanation: none or one. */
    record ExplainReply(List<Explanation> explanations) implements PeerMessage {}

    /** Tells of requests at engines. */
    record WorkNews(List<WorkNotice> notices) implements PeerMessage {}

    /** The message was taken; there is nothing to answer. */
    record Received() implements PeerMessage {}

    /** The peer does not handle the message. */
    record Unhandled() implements PeerMessage {}
}
