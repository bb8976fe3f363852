package org.rattanport.connectors.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.rattanport.connectors.peer.protocol.Frame;
import org.rattanport.connectors.peer.protocol.Handshake;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * An outgoing connection to a peer. One task reads the responses and completes the request that has
 * the same correlation id.
 */
final class PeerLink implements AutoCloseable {
    /** Correlation id of messages without a response; the ids of requests start at one. */
    static final long ONE_WAY = 0;

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Time without a frame, from an unanswered request on, after which the connection is closed. It
     * may be broken without an end, and the next request opens a new one.
     */
    private static final Duration MAX_SILENCE = Duration.ofMillis(700);

    /** Instead of a time: no request was written since the last frame arrived. */
    private static final long ANSWERED = Long.MIN_VALUE;

    private final PeerChannel mChannel;
    private final PeerCodec mCodec;
    private final TimeSource mTime;
    private final AtomicLong mLastCorrelationId = new AtomicLong();
    private final Map<Long, CompletableFuture<PeerMessage>> mPendingRequests =
            new ConcurrentHashMap<>();

    /** When the first request was written since the last frame arrived, or {@link #ANSWERED}. */
    private final AtomicLong mUnansweredNanos = new AtomicLong(ANSWERED);

    private volatile boolean mIsClosed;

    private PeerLink(PeerChannel channel, PeerCodec codec, TimeSource time) {
        mChannel = channel;
        mCodec = codec;
        mTime = time;
    }

    /** Authenticates both sides, and starts the task that reads the responses. */
    static PeerLink open(
            PeerChannel channel,
            PeerSecret secret,
            PeerCodec codec,
            TimeSource time,
            Runnable onBroken,
            Deadline deadline) {
        try {
            byte[] serverNonce = receiveHandshake(channel, time, deadline).getNonce().toByteArray();
            byte[] clientNonce = secret.nonce();
            byte[] proof = secret.proof("client", serverNonce, clientNonce);
            channel.write(handshakeFrame(clientNonce, proof));
            byte[] received = receiveHandshake(channel, time, deadline).getProof().toByteArray();
            byte[] expected = secret.proof("server", serverNonce, clientNonce);
            if (!PeerSecret.matches(expected, received)) {
                throw new RattanportException(
                        ErrorCode.PEER_UNREACHABLE,
                        "the peer did not prove that it has the shared secret");
            }
        } catch (RattanportException e) {
            channel.close();
            throw e;
        }
        PeerLink link = new PeerLink(channel, codec, time);
        Tasks.start("peer-link", () -> link.readResponses(onBroken));
        return link;
    }

    static Frame handshakeFrame(byte[] nonce, byte[] proof) {
        return Frame.newBuilder()
                .setHandshake(
                        Handshake.newBuilder()
                                .setNonce(ByteString.copyFrom(nonce))
                                .setProof(ByteString.copyFrom(proof)))
                .build();
    }

    static Handshake receiveHandshake(PeerChannel channel, TimeSource time, Deadline deadline) {
        return channel.poll(deadline.remaining(time).toNanos())
                .filter(Frame::hasHandshake)
                .map(Frame::getHandshake)
                .orElseThrow(
                        () ->
                                new RattanportException(
                                        ErrorCode.PEER_UNREACHABLE,
                                        "the peer sent no handshake before the deadline"));
    }

    private void readResponses(Runnable onBroken) {
        try {
            while (true) {
                Optional<Frame> frame = mChannel.poll(IDLE_TIMEOUT.toNanos());
                if (frame.isEmpty() && mPendingRequests.isEmpty()) {
                    return;
                }
                frame.ifPresent(this::completeRequest);
            }
        } catch (RattanportException e) {
            mPendingRequests.values().forEach(each -> each.completeExceptionally(e));
            if (!mIsClosed) {
                onBroken.run();
            }
        } finally {
            mChannel.close();
        }
    }

    private void completeRequest(Frame frame) {
        mUnansweredNanos.set(ANSWERED);
        CompletableFuture<PeerMessage> pending = mPendingRequests.remove(frame.getCorrelation());
        if (pending != null) {
            pending.complete(mCodec.decode(frame).orElse(new PeerMessage.Unhandled()));
        }
    }

    boolean isOpen() {
        return !mIsClosed && mChannel.isOpen();
    }

    /** Sends a message that has no response. */
    void send(PeerMessage message) {
        mChannel.write(mCodec.encode(message).setCorrelation(ONE_WAY).build());
    }

    /** Sends a request and waits for its response. */
    PeerMessage call(PeerMessage request, Deadline deadline) {
        long correlationId = mLastCorrelationId.incrementAndGet();
        CompletableFuture<PeerMessage> response = new CompletableFuture<>();
        mPendingRequests.put(correlationId, response);
        try {
            mUnansweredNanos.compareAndSet(ANSWERED, mTime.nanoTime());
            mChannel.write(mCodec.encode(request).setCorrelation(correlationId).build());
            return response.get(deadline.remaining(mTime).toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            closeIfSilent();
            throw new RattanportException(
                    ErrorCode.PEER_UNREACHABLE, "the peer did not respond before the deadline");
        } catch (ExecutionException e) {
            throw new RattanportException(
                    ErrorCode.PEER_UNREACHABLE,
                    "the connection to the peer broke before the response");
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        } finally {
            mPendingRequests.remove(correlationId);
        }
    }

    private void closeIfSilent() {
        long since = mUnansweredNanos.get();
        if (since != ANSWERED && mTime.nanoTime() - since >= MAX_SILENCE.toNanos()) {
            close();
        }
    }

    @Override
    public void close() {
        mIsClosed = true;
        mChannel.close();
    }
}
