package org.rattanport.decisions.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerMessage.QuotaDemand;
import org.rattanport.kernel.peer.PeerMessage.QuotaReply;
import org.rattanport.kernel.peer.PeerMessage.QuotaRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Enforces the token limits of client accounts over all instances without writes to the table
 * service.
 *
 * <p>Rendezvous hashing selects one alive instance as the owner of each account. An instance
 * requests a chunk of tokens from the owner and spends it locally. While the owner does not
 * respond, the instance grants itself an equal share of the rate.
 */
public final class AccountQuota {
    private static final Logger LOGGER = Logger.getLogger(AccountQuota.class);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final double CHUNK_SECONDS = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Membership mMembership;
    private final PeerNetwork mPeers;
    private final ActiveEnvironments mActiveEnvironments;
    private final AccountTokenBuckets mOwnedBuckets;
    private final AccountTokenBuckets mFallbackBuckets;
    private final TimeSource mTime;
    private final Map<AccountId, Chunk> mChunks = new HashMap<>();

    public AccountQuota(
            Membership membership,
            PeerNetwork peers,
            ActiveEnvironments activeEnvironments,
            TimeSource time) {
        mMembership = membership;
        mPeers = peers;
        mActiveEnvironments = activeEnvironments;
        mOwnedBuckets = new AccountTokenBuckets(time);
        mFallbackBuckets = new AccountTokenBuckets(time);
        mTime = time;
    }

    /** Registers the handler of quota requests from peers for accounts that this instance owns. */
    public void registerHandler() {
        mPeers.registerHandler(QuotaRequest.class, this::handleRequest);
    }

    /** Takes tokens for a request; returns false when the account exceeds its limit. */
    public boolean tryTake(Stage stage, ClientAccount account, long tokens) {
        if (spend(account.id(), tokens)) {
            return true;
        }
        long share = account.tokensPerSecond() / Math.max(1, mMembership.aliveMembers().size());
        long requested = tokens + (long) (share * CHUNK_SECONDS);
        long granted = requestFromOwner(stage, account, tokens, requested);
        if (granted < tokens) {
            return false;
        }
        addToChunk(account.id(), granted - tokens);
        return true;
    }

    /** Returns the time after which a caller may retry a refused request of the account. */
    public Duration retryAfter(ClientAccount account, long tokens) {
        double seconds = (double) tokens / Math.max(1, account.tokensPerSecond());
        return Duration.ofMillis((long) (Math.clamp(seconds, 0.2, 30) * 1000));
    }

    private long requestFromOwner(Stage stage, ClientAccount account, long needed, long requested) {
        Member owner = owner(account.id());
        if (owner.id().equals(mMembership.self().id())) {
            return mOwnedBuckets.grant(account, needed, requested);
        }
        try {
            QuotaRequest request =
                    new QuotaRequest(
                            stage,
                            List.of(new QuotaDemand(account.id().value(), needed, requested)));
            Deadline deadline = Deadline.after(mTime, REQUEST_TIMEOUT);
            if (mPeers.call(owner.peerAddress(), request, deadline) instanceof QuotaReply reply
                    && reply.grantedTokens().size() == 1) {
                return reply.grantedTokens().getFirst();
            }
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "quota owner %s does not respond, using an equal share of the rate: %s",
                    owner.id(), e.getMessage());
        }
        return mFallbackBuckets.grant(equalShare(account), needed, needed);
    }

    private ClientAccount equalShare(ClientAccount account) {
        int instances = Math.max(1, mMembership.members().size());
        return new ClientAccount(
                account.id(),
                account.keyHashes(),
                account.priority(),
                account.weight(),
                account.tokensPerSecond() / instances,
                account.burstTokens() / instances);
    }

    private Member owner(AccountId account) {
        List<Member> alive = mMembership.aliveMembers();
        if (alive.isEmpty()) {
            return mMembership.self();
        }
        return RendezvousHash.order("quota/" + account, alive, each -> each.id().name()).getFirst();
    }

    private QuotaReply handleRequest(QuotaRequest request) {
        var document =
                mActiveEnvironments.current(request.stage()).map(active -> active.document());
        return new QuotaReply(
                request.demands().stream()
                        .map(
                                demand ->
                                        document.flatMap(
                                                        each ->
                                                                each.account(
                                                                        new AccountId(
                                                                                demand.account())))
                                                .map(account -> grant(account, demand))
                                                .orElse(0L))
                        .toList());
    }

    private long grant(ClientAccount account, QuotaDemand demand) {
        return mOwnedBuckets.grant(account, demand.neededTokens(), demand.requestedTokens());
    }

    private synchronized boolean spend(AccountId account, long tokens) {
        Chunk chunk = mChunks.get(account);
        if (chunk == null || chunk.tokens() < tokens || hasExpired(chunk)) {
            return false;
        }
        mChunks.put(account, new Chunk(chunk.tokens() - tokens, chunk.grantedNanos()));
        return true;
    }

    private boolean hasExpired(Chunk chunk) {
        double seconds = (mTime.nanoTime() - chunk.grantedNanos()) / NANOS_PER_SECOND;
        return seconds > 2 * CHUNK_SECONDS;
    }

    private synchronized void addToChunk(AccountId account, long tokens) {
        Chunk previous = mChunks.get(account);
        long remaining = previous == null || hasExpired(previous) ? 0 : previous.tokens();
        mChunks.put(account, new Chunk(remaining + tokens, mTime.nanoTime()));
    }

    /** Granted tokens that are not yet spent; they expire, so that idle instances release them. */
    private record Chunk(long tokens, long grantedNanos) {}
}
