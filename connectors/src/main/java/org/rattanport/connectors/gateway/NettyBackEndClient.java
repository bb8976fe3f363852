package org.rattanport.connectors.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.connectors.http.HttpMessagePart;
import org.rattanport.connectors.http.HttpMessagePart.BodyChunk;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Malformed;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.connectors.http.ResponseHeadReader;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Opens a new connection for each request. A reused connection could deliver late or surplus bytes
 * of an earlier response, or fail because the back end closed it while it was idle.
 */
public final class NettyBackEndClient implements BackEndClient {
    private final HttpTransport mTransport;
    private final GatewayDialect mDialect;
    private final TimeSource mTime;

    public NettyBackEndClient(HttpTransport transport, GatewayDialect dialect, TimeSource time) {
        mTransport = transport;
        mDialect = dialect;
        mTime = time;
    }

    @Override
    public BackEndExchange send(Attempt attempt, Deadline connectDeadline, Runnable beforeWriting) {
        Duration connectTimeout = connectDeadline.remaining(mTime);
        HttpChannel channel = mTransport.connect(attempt.backEnd().address(), connectTimeout);
        try {
            beforeWriting.run();
        } catch (RattanportException e) {
            channel.close();
            throw e;
        }
        channel.writeAsync(mDialect.encodeRequest(attempt));
        return new NettyBackEndExchange(channel);
    }

    private final class NettyBackEndExchange implements BackEndExchange {
        private final HttpChannel mChannel;
        private volatile boolean mIsAborted;

        private NettyBackEndExchange(HttpChannel channel) {
            mChannel = channel;
        }

        @Override
        public ResponseHead awaitHead(Deadline deadline) {
            ResponseHeadReader reader = new ResponseHeadReader();
            Optional<HttpResponse> head = reader.accept(nextPart(deadline));
            while (head.isEmpty()) {
                head = reader.accept(nextPart(deadline));
            }
            return mDialect.decodeResponseHead(head.get());
        }

        @Override
        public Optional<byte[]> awaitChunk(Deadline deadline) {
            return switch (nextPart(deadline)) {
                case BodyChunk chunk -> Optional.of(chunk.bytes());
                case End end -> Optional.empty();
                case Head other ->
                        throw backEndFailed(
                                "the back end started another response inside the response");
                case Malformed malformed -> throw backEndFailed(malformed.reason());
                case Closed closed -> throw backEndFailed(closed.reason());
            };
        }

        private HttpMessagePart nextPart(Deadline deadline) {
            Optional<HttpMessagePart> part = poll(deadline);
            if (mIsAborted) {
                throw RattanportException.builder(ErrorCode.CANCELLED, "the caller disconnected")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .build();
            }
            if (part.isEmpty()) {
                throw RattanportException.builder(
                                ErrorCode.DEADLINE_EXCEEDED,
                                "the back end did not respond before the deadline")
                        .verdict(Verdict.MAY_HAVE_RUN)
                        .build();
            }
            if (part.get() instanceof Closed closed) {
                throw backEndFailed(closed.reason());
            }
            return part.get();
        }

        private Optional<HttpMessagePart> poll(Deadline deadline) {
            try {
                return mChannel.poll(deadline.remaining(mTime));
            } catch (RattanportException e) {
                throw e.withVerdict(Verdict.MAY_HAVE_RUN);
            }
        }

        private static RattanportException backEndFailed(String reason) {
            return RattanportException.builder(ErrorCode.TARGET_FAILED, reason)
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }

        @Override
        public void abort() {
            mIsAborted = true;
            mChannel.abort("the caller disconnected");
            mChannel.close();
        }

        @Override
        public void close() {
            mChannel.close();
        }
    }
}
