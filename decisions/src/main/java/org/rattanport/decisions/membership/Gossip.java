package org.rattanport.decisions.membership;

import java.util.List;
import java.util.function.Consumer;
import org.rattanport.kernel.environment.ActiveEnvironments;
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

/**
 * SWIM-style gossip: pings and acks carry membership rumors and the sender's document versions
 * between this instance and one peer.
 */
public final class Gossip {
    /** Receives the document versions that a peer reports in a ping or an ack. */
    @FunctionalInterface
    public interface VersionListener {
        void onPeerVersion(String peerAddress, Stage stage, long version);
    }

    private final MemberTable mTable;
    private final RumorQueue mRumors;
    private final PeerNetwork mPeers;
    private final ActiveEnvironments mActiveEnvironments;
    private final VersionListener mVersionListener;
    private final Consumer<Rumor> mRumorListener;

    public Gossip(
            MemberTable table,
            RumorQueue rumors,
            PeerNetwork peers,
            ActiveEnvironments activeEnvironments,
            VersionListener versionListener,
            Consumer<Rumor> rumorListener) {
        mTable = table;
        mRumors = rumors;
        mPeers = peers;
        mActiveEnvironments = activeEnvironments;
        mVersionListener = versionListener;
        mRumorListener = rumorListener;
    }

    /** Registers the handlers of pings, member lists and documents with the peer network. */
    public void registerHandlers(
            java.time.Duration probeTimeout, org.rattanport.kernel.time.TimeSource time) {
        mPeers.registerHandler(Ping.class, this::handlePing);
        mPeers.registerHandler(
                IndirectPing.class,
                request -> {
                    Deadline deadline = Deadline.after(time, probeTimeout);
                    return new IndirectAck(isReachable(request.peerAddress(), deadline));
                });
        mPeers.registerHandler(
                MembersRequest.class,
                request -> {
                    mTable.merge(request.sender());
                    return new MembersReply(mTable.allMembers());
                });
        mPeers.registerHandler(
                DocumentRequest.class,
                request ->
                        new DocumentReply(
                                mActiveEnvironments.current(request.stage()).stream()
                                        .map(active -> active.version())
                                        .toList()));
    }

    /** Pings the peer and applies the rumors of its ack; returns whether an ack arrived. */
    public boolean ping(String peerAddress, Deadline deadline) {
        Ping ping =
                new Ping(
                        mTable.self(),
                        mActiveEnvironments.activeVersion(Stage.TRIAL),
                        mActiveEnvironments.activeVersion(Stage.PRODUCTION),
                        rumors());
        if (!(mPeers.call(peerAddress, ping, deadline) instanceof Ack ack)) {
            return false;
        }
        applyUpdate(ack.sender(), ack.rumors());
        mVersionListener.onPeerVersion(peerAddress, Stage.TRIAL, ack.trialVersion());
        mVersionListener.onPeerVersion(peerAddress, Stage.PRODUCTION, ack.productionVersion());
        return true;
    }

    /** Joins the cluster through a peer: requests its member list and merges it. */
    public void join(String peerAddress, Deadline deadline) {
        if (mPeers.call(peerAddress, new MembersRequest(mTable.self()), deadline)
                instanceof MembersReply reply) {
            reply.members().forEach(mTable::merge);
        }
    }

    private PeerMessage handlePing(Ping ping) {
        applyUpdate(ping.sender(), ping.rumors());
        long trial = mActiveEnvironments.activeVersion(Stage.TRIAL);
        long production = mActiveEnvironments.activeVersion(Stage.PRODUCTION);
        Member sender = ping.sender();
        if (ping.trialVersion() > trial || ping.productionVersion() > production) {
            // Fetches in another task: a late ack would make the sender suspect this instance.
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

    /** Applies the member record of the sender and the rumors that its message carries. */
    private void applyUpdate(Member sender, List<Rumor> rumors) {
        mTable.find(sender.id().name())
                .filter(known -> known.id().equals(sender.id()))
                .filter(known -> known.state().compareTo(MemberState.SUSPECT) >= 0)
                .ifPresent(known -> requeueSuspicion(known));
        mTable.merge(sender);
        rumors.forEach(this::applyRumor);
    }

    /** Queues the rumor again, so that a member considered suspect or dead can refute it. */
    private void requeueSuspicion(Member known) {
        mRumors.add(new MemberRumor(known));
    }

    private void applyRumor(Rumor rumor) {
        if (rumor instanceof MemberRumor member) {
            mTable.merge(member.member());
        } else {
            mRumorListener.accept(rumor);
        }
    }
}
