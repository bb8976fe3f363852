package org.rattanport.connectors.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.connectors.http.HttpMessagePart;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Piece;
import org.rattanport.connectors.http.HttpMessagePart.Spoilt;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Sends each request on a connection of its own. Late or extra bytes of an earlier answer cannot
 * come between, and a connection that was dropped while idle is never met.
 */
public final class NettyBackEndClient implements BackEndClient {
    private static final int FIRST_FINAL_STATUS = 200;

    private final HttpTransport mTransport;
    private final GatewayDialect mDialect;
    private final TimeSource mTime;

    public NettyBackEndClient(HttpTransport transport, GatewayDialect dialect, TimeSource time) {
        mTransport = transport;
        mDialect = dialect;
        mTime = time;
    }

    @Override
    public BackEndExchange send(Attempt attempt, Deadline connectDeadline) {
        Duration longest = connectDeadline.remaining(mTime);
        HttpChannel channel = mTransport.connect(attempt.backEnd().address(), longest);
        channel.writeLast(mDialect.attempt(attempt));
        return new Exchange(channel);
    }

    private final class Exchange implements BackEndExchange {
        private final HttpChannel mChannel;
        private volatile boolean mIsAborted;

        private Exchange(HttpChannel channel) {
            mChannel = channel;
        }

        @Override
        public AnswerHead head(Deadline deadline) {
            while (true) {
                HttpMessagePart part = take(deadline);
                if (part instanceof Head head && head.message() instanceof HttpResponse response) {
                    if (response.decoderResult().isFailure()) {
                        throw failed("the answer is no HTTP");
                    }
                    if (response.status().code() >= FIRST_FINAL_STATUS) {
                        return mDialect.answer(response);
                    }
                }
            }
        }

        @Override
        public Optional<byte[]> next(Deadline deadline) {
            return switch (take(deadline)) {
                case Piece piece -> Optional.of(piece.bytes());
                case End end -> Optional.empty();
                case Head head -> throw failed("another answer came inside the answer");
                case Spoilt spoilt -> throw failed(spoilt.reason());
                case Closed closed -> throw failed(closed.reason());
            };
        }

        private HttpMessagePart take(Deadline deadline) {
            Optional<HttpMessagePart> part = mChannel.take(deadline.remaining(mTime));
            if (mIsAborted) {
                throw RattanportException.builder(ErrorCode.CANCELLED, "the caller has left")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .build();
            }
            if (part.isEmpty()) {
                throw RattanportException.builder(
                                ErrorCode.DEADLINE_EXCEEDED, "the back end did not answer in time")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .build();
            }
            if (part.get() instanceof Closed closed) {
                throw failed(closed.reason());
            }
            return part.get();
        }

        private static RattanportException failed(String reason) {
            return RattanportException.builder(ErrorCode.TARGET_FAILED, reason)
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }

        @Override
        public void abort() {
            mIsAborted = true;
            mChannel.abort("the caller has left");
            mChannel.close();
        }

        @Override
        public void close() {
            mChannel.close();
        }
    }
}
