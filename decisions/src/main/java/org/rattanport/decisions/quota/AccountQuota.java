package org.rattanport.decisions.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.environment.EnvironmentInForce;
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
 * Holds client accounts to their limits over all instances without a write to the store.
 *
 * <p>Each account has one owner among the live instances, chosen by rendezvous. An instance asks
 * the owner for a chunk of tokens and spends it on its own. When the owner does not answer, the
 * instance grants itself an equal share of the rate until it does.
 */
public final class AccountQuota {
    private static final Logger LOGGER = Logger.getLogger(AccountQuota.class);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);
    private static final double CHUNK_SECONDS = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Membership mMembership;
    private final PeerNetwork mPeers;
    private final EnvironmentInForce mInForce;
    private final QuotaOwner mOwner;
    private final QuotaOwner mFallback;
    private final TimeSource mTime;
    private final Map<AccountId, Chunk> mChunks = new HashMap<>();

    public AccountQuota(
            Membership membership, PeerNetwork peers, EnvironmentInForce inForce, TimeSource time) {
        mMembership = membership;
        mPeers = peers;
        mInForce = inForce;
        mOwner = new QuotaOwner(time);
        mFallback = new QuotaOwner(time);
        mTime = time;
    }

    /** Answers the demands of peers for accounts that this instance owns. */
    public void register() {
        mPeers.handle(QuotaRequest.class, this::answer);
    }

    /** Takes the tokens of a request; false when the account is over its limit. */
    public boolean take(Stage stage, ClientAccount account, long tokens) {
        if (spend(account.id(), tokens)) {
            return true;
        }
        long share = account.tokensPerSecond() / Math.max(1, mMembership.aliveMembers().size());
        long wanted = tokens + (long) (share * CHUNK_SECONDS);
        long granted = askOwner(stage, account, tokens, wanted);
        if (granted < tokens) {
            return false;
        }
        keep(account.id(), granted - tokens);
        return true;
    }

    /** Time after which a refused request of the account may be tried again. */
    public Duration retryAfter(ClientAccount account, long tokens) {
        double seconds = (double) tokens / Math.max(1, account.tokensPerSecond());
        return Duration.ofMillis((long) (Math.clamp(seconds, 0.2, 30) * 1000));
    }

    private long askOwner(Stage stage, ClientAccount account, long needed, long wanted) {
        Member owner = owner(account.id());
        if (owner.id().equals(mMembership.self().id())) {
            return mOwner.grant(account, needed, wanted);
        }
        try {
            QuotaRequest question =
                    new QuotaRequest(
                            stage, List.of(new QuotaDemand(account.id().value(), needed, wanted)));
            Deadline deadline = Deadline.after(mTime, ANSWER_TIMEOUT);
            if (mPeers.ask(owner.peerAddress(), question, deadline) instanceof QuotaReply reply
                    && reply.grantedTokens().size() == 1) {
                return reply.grantedTokens().getFirst();
            }
        } catch (RattanportException e) {
            LOGGER.debugf("quota owner %s does not answer: %s", owner.id(), e.getMessage());
        }
        return mFallback.grant(equalShare(account), needed, needed);
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

    private QuotaReply answer(QuotaRequest question) {
        var document = mInForce.current(question.stage()).map(active -> active.document());
        return new QuotaReply(
                question.demands().stream()
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
        return mOwner.grant(account, demand.neededTokens(), demand.wantedTokens());
    }

    private synchronized boolean spend(AccountId account, long tokens) {
        Chunk chunk = mChunks.get(account);
        if (chunk == null || chunk.tokens() < tokens || hasLapsed(chunk)) {
            return false;
        }
        mChunks.put(account, new Chunk(chunk.tokens() - tokens, chunk.grantedNanos()));
        return true;
    }

    private boolean hasLapsed(Chunk chunk) {
        double seconds = (mTime.nanoTime() - chunk.grantedNanos()) / NANOS_PER_SECOND;
        return seconds > 2 * CHUNK_SECONDS;
    }

    private synchronized void keep(AccountId account, long tokens) {
        Chunk before = mChunks.get(account);
        long left = before == null || hasLapsed(before) ? 0 : before.tokens();
        mChunks.put(account, new Chunk(left + tokens, mTime.nanoTime()));
    }

    /** Tokens at hand; they lapse so that idle instances hold nothing back for long. */
    private record Chunk(long tokens, long grantedNanos) {}
}
