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

/** An outgoing connection: one task reads the answers and hands each to the one who asked. */
final class PeerLink implements AutoCloseable {
    /** Correlation of messages that have no answer; questions count from one. */
    static final long ONE_WAY = 0;

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final PeerChannel mChannel;
    private final PeerCodec mCodec;
    private final TimeSource mTime;
    private final AtomicLong mLastCorrelationId = new AtomicLong();
    private final Map<Long, CompletableFuture<PeerMessage>> mPendingRequests =
            new ConcurrentHashMap<>();

    private PeerLink(PeerChannel channel, PeerCodec codec, TimeSource time) {
        mChannel = channel;
        mCodec = codec;
        mTime = time;
    }

    /** Proves both sides to each other, then starts the reading task. */
    static PeerLink open(
            PeerChannel channel,
            PeerSecret secret,
            PeerCodec codec,
            TimeSource time,
            Deadline deadline) {
        try {
            byte[] serverNonce = handshake(channel, time, deadline).getNonce().toByteArray();
            byte[] clientNonce = secret.nonce();
            byte[] proof = secret.proof("client", serverNonce, clientNonce);
            channel.write(handshake(clientNonce, proof));
            byte[] received = handshake(channel, time, deadline).getProof().toByteArray();
            byte[] expected = secret.proof("server", serverNonce, clientNonce);
            if (!PeerSecret.matches(expected, received)) {
                throw new RattanportException(
                        ErrorCode.PEER_UNREACHABLE, "the peer did not prove the shared key");
            }
        } catch (RattanportException e) {
            channel.close();
            throw e;
        }
        PeerLink link = new PeerLink(channel, codec, time);
        Tasks.start("peer-link", link::readResponses);
        return link;
    }

    static Frame handshake(byte[] nonce, byte[] proof) {
        return Frame.newBuilder()
                .setHandshake(
                        Handshake.newBuilder()
                                .setNonce(ByteString.copyFrom(nonce))
                                .setProof(ByteString.copyFrom(proof)))
                .build();
    }

    static Handshake handshake(PeerChannel channel, TimeSource time, Deadline deadline) {
        return channel.poll(deadline.remaining(time).toNanos())
                .filter(Frame::hasHandshake)
                .map(Frame::getHandshake)
                .orElseThrow(
                        () ->
                                new RattanportException(
                                        ErrorCode.PEER_UNREACHABLE, "no handshake in time"));
    }

    private void readResponses() {
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
        } finally {
            mChannel.close();
        }
    }

    private void completeRequest(Frame frame) {
        CompletableFuture<PeerMessage> question = mPendingRequests.remove(frame.getCorrelation());
        if (question != null) {
            question.complete(mCodec.decode(frame).orElse(new PeerMessage.Unhandled()));
        }
    }

    boolean isOpen() {
        return mChannel.isOpen();
    }

    /** Sends a message that has no answer. */
    void send(PeerMessage message) {
        mChannel.write(mCodec.encode(message).setCorrelation(ONE_WAY).build());
    }

    /** Sends a question and waits for its answer. */
    PeerMessage request(PeerMessage question, Deadline deadline) {
        long correlation = mLastCorrelationId.incrementAndGet();
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        mPendingRequests.put(correlation, answer);
        try {
            mChannel.write(mCodec.encode(question).setCorrelation(correlation).build());
            return answer.get(deadline.remaining(mTime).toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            throw new RattanportException(ErrorCode.PEER_UNREACHABLE, "no answer in time");
        } catch (ExecutionException e) {
            throw new RattanportException(
                    ErrorCode.PEER_UNREACHABLE, "the connection broke before the answer");
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        } finally {
            mPendingRequests.remove(correlation);
        }
    }

    @Override
    public void close() {
        mChannel.close();
    }
}
