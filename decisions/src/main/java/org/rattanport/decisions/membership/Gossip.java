package org.rattanport.decisions.membership;

import java.util.List;
import java.util.function.Consumer;
import org.rattanport.kernel.environment.EnvironmentInForce;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerMessage.Ack;
import org.rattanport.kernel.peer.PeerMessage.DocumentReply;
import org.rattanport.kernel.peer.PeerMessage.DocumentRequest;
import org.rattanport.kernel.peer.PeerMessage.IndirectAck;
import org.rattanport.kernel.peer.PeerMessage.IndirectPing;
import org.rattanport.kernel.peer.PeerMessage.MembersReply;
import org.rattanport.kernel.peer.PeerMessage.MembersRequest;
import org.rattanport.kernel.peer.PeerMessage.Ping;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.peer.Rumor.MemberRumor;
import org.rattanport.kernel.time.Deadline;

/** Exchanges rumors and document versions with one peer at a time, in probes and their answers. */
public final class Gossip {
    /** Told when a peer has other versions of the documents than this instance. */
    @FunctionalInterface
    public interface VersionListener {
        void onPeerVersion(String peerAddress, Stage stage, long version);
    }

    private final MemberTable mTable;
    private final RumorQueue mRumors;
    private final PeerNetwork mPeers;
    private final EnvironmentInForce mDocuments;
    private final VersionListener mVersionListener;
    private final Consumer<Rumor> mRumorListener;

    public Gossip(
            MemberTable table,
            RumorQueue rumors,
            PeerNetwork peers,
            EnvironmentInForce inForce,
            VersionListener versions,
            Consumer<Rumor> otherRumors) {
        mTable = table;
        mRumors = rumors;
        mPeers = peers;
        mDocuments = inForce;
        mVersionListener = versions;
        mRumorListener = otherRumors;
    }

    /** Registers the handlers of probes with the peer network. */
    public void register(
            java.time.Duration probeTimeout, org.rattanport.kernel.time.TimeSource time) {
        mPeers.handle(Ping.class, this::handlePing);
        mPeers.handle(
                IndirectPing.class,
                question -> {
                    Deadline deadline = Deadline.after(time, probeTimeout);
                    return new IndirectAck(isReachable(question.peerAddress(), deadline));
                });
        mPeers.handle(
                MembersRequest.class,
                question -> {
                    mTable.merge(question.sender());
                    return new MembersReply(mTable.allMembers());
                });
        mPeers.handle(
                DocumentRequest.class,
                question ->
                        new DocumentReply(
                                mDocuments.current(question.stage()).stream()
                                        .map(active -> active.version())
                                        .toList()));
    }

    /** Probes the peer; returns whether it answered. */
    public boolean ping(String peerAddress, Deadline deadline) {
        Ping ping =
                new Ping(
                        mTable.self(),
                        mDocuments.version(Stage.TRIAL),
                        mDocuments.version(Stage.PRODUCTION),
                        rumors());
        if (!(mPeers.ask(peerAddress, ping, deadline) instanceof Ack ack)) {
            return false;
        }
        learn(ack.sender(), ack.rumors());
        mVersionListener.onPeerVersion(peerAddress, Stage.TRIAL, ack.trialVersion());
        mVersionListener.onPeerVersion(peerAddress, Stage.PRODUCTION, ack.productionVersion());
        return true;
    }

    /** Reads all members from a peer. */
    public void join(String peerAddress, Deadline deadline) {
        if (mPeers.ask(peerAddress, new MembersRequest(mTable.self()), deadline)
                instanceof MembersReply reply) {
            reply.members().forEach(mTable::merge);
        }
    }

    private PeerMessage handlePing(Ping ping) {
        learn(ping.sender(), ping.rumors());
        long trial = mDocuments.version(Stage.TRIAL);
        long production = mDocuments.version(Stage.PRODUCTION);
        Member sender = ping.sender();
        if (ping.trialVersion() > trial || ping.productionVersion() > production) {
            // The fetch must not delay the answer, or the sender would suspect this instance.
            org.rattanport.kernel.task.Tasks.start(
                    "fetch-document",
                    () -> {
                        mVersionListener.onPeerVersion(
                                sender.peerAddress(), Stage.TRIAL, ping.trialVersion());
                        mVersionListener.onPeerVersion(
                                sender.peerAddress(), Stage.PRODUCTION, ping.productionVersion());
                    });
        }
        return new Ack(mTable.self(), trial, production, rumors());
    }

    private boolean isReachable(String peerAddress, Deadline deadline) {
        try {
            return ping(peerAddress, deadline);
        } catch (RattanportException e) {
            return false;
        }
    }

    private List<Rumor> rumors() {
        return mRumors.take(mTable.members().size());
    }

    private void learn(Member sender, List<Rumor> rumors) {
        mTable.find(sender.id().name())
                .filter(known -> known.id().equals(sender.id()))
                .filter(known -> known.state().compareTo(MemberState.SUSPECT) >= 0)
                .ifPresent(known -> requeueSuspicion(known));
        mTable.merge(sender);
        rumors.forEach(this::learn);
    }

    /** A member that is held for suspect or dead must hear of it, so that it can refute. */
    private void requeueSuspicion(Member known) {
        mRumors.add(new MemberRumor(known));
    }

    private void learn(Rumor rumor) {
        if (rumor instanceof MemberRumor member) {
            mTable.merge(member.member());
        } else {
            mRumorListener.accept(rumor);
        }
    }
}
