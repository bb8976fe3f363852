package org.rattanport.connectors.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Piece;
import org.rattanport.connectors.http.HttpMessagePart.Spoilt;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;

/** One connection as its task sees it: parts to take in order, and writes that may wait. */
public final class HttpChannel extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = Logger.getLogger(HttpChannel.class);

    /** Parts that may wait for the task before the peer is held back. */
    private static final int MOST_WAITING = 64;

    private static final int FEW_WAITING = 16;

    /** Time in which a caller that was told of the end may still send before the close. */
    private static final Duration LINGER = Duration.ofMillis(500);

    private final LinkedBlockingQueue<HttpMessagePart> mParts = new LinkedBlockingQueue<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWritable = mLock.newCondition();
    private final Cancellation mClosing = new Cancellation();
    private final Channel mChannel;
    private boolean mIsBroken;

    public HttpChannel(Channel channel) {
        mChannel = channel;
    }

    /** Cancelled when the other side closes the connection or it breaks. */
    public Cancellation closing() {
        return mClosing;
    }

    /** Whether the connection is open and nothing came that nobody has taken. */
    boolean isQuiet() {
        return mChannel.isActive() && mParts.isEmpty();
    }

    /** Takes the next part; empty when none came in that time. */
    public Optional<HttpMessagePart> take(Duration longest) {
        try {
            HttpMessagePart part = mParts.poll(longest.toNanos(), TimeUnit.NANOSECONDS);
            if (part instanceof Closed) {
                // Whoever takes again must not wait for what cannot come.
                mParts.add(part);
            }
            if (mParts.size() <= FEW_WAITING && !mChannel.config().isAutoRead()) {
                mChannel.config().setAutoRead(true);
            }
            return Optional.ofNullable(part);
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    /**
     * Serves the requests of the connection, one after the other, until it ends.
     *
     * @param idle longest wait for a request
     * @param serve answers a request and says whether the connection goes on
     */
    public void serveRequests(Supplier<Duration> idle, Predicate<HttpRequest> serve) {
        boolean goesOn = true;
        while (goesOn) {
            Optional<HttpMessagePart> part = take(idle.get());
            if (part.isEmpty() || part.get() instanceof Closed) {
                return;
            }
            goesOn =
                    !(part.get() instanceof Head head)
                            || !(head.message() instanceof HttpRequest request)
                            || serve.test(request);
        }
        endSending(LINGER);
    }

    /** Ends the waiting of the task with the given reason. */
    public void abort(String reason) {
        mParts.add(new Closed(true, reason));
    }

    /** Writes, and waits while the other side does not read; false when it never did. */
    public boolean write(HttpObject object, Duration longest) {
        mChannel.writeAndFlush(object);
        if (mChannel.isWritable()) {
            return mChannel.isActive();
        }
        long left = longest.toNanos();
        mLock.lock();
        try {
            while (!mChannel.isWritable() && mChannel.isActive() && left > 0) {
                left = mWritable.awaitNanos(left);
            }
            return mChannel.isWritable();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        } finally {
            mLock.unlock();
        }
    }

    public ChannelFuture writeLast(HttpObject object) {
        return mChannel.writeAndFlush(object);
    }

    public void close() {
        mChannel.close();
    }

    /**
     * Ends the sending side, so that what the other side still sends does not reset what it has not
     * read yet, and waits for its end.
     */
    private void endSending(Duration longest) {
        if (mChannel instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
            Optional<HttpMessagePart> part = take(longest);
            while (part.isPresent() && !(part.get() instanceof Closed)) {
                part = take(longest);
            }
        }
    }

    /** Closes the connection with a reset, which no reader can take for a complete end. */
    public void reset() {
        try {
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The other side was faster; there is nothing left to reset.
            LOGGER.debugf("a connection was closed before its reset: %s", e.getMessage());
        }
        mChannel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpMessage head) {
                mParts.add(new Head(head));
            }
            if (message instanceof HttpContent content && content.decoderResult().isFailure()) {
                // The codec ends a body with a broken chunk as if it were complete.
                mIsBroken = true;
                mParts.add(new Spoilt(String.valueOf(content.decoderResult().cause())));
            } else if (message instanceof HttpContent content) {
                if (content.content().isReadable()) {
                    mParts.add(new Piece(ByteBufUtil.getBytes(content.content())));
                }
                if (message instanceof LastHttpContent && !mIsBroken) {
                    mParts.add(new End());
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
        if (mParts.size() >= MOST_WAITING) {
            mChannel.config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        signalWriter();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mIsBroken = true;
        mParts.add(new Closed(true, String.valueOf(cause.getMessage())));
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mParts.add(new Closed(mIsBroken, "the connection was closed"));
        signalWriter();
        // The hooks may wait for other connections, which the event loop must not.
        if (!mClosing.isCancelled()) {
            Tasks.start("connection-closed", mClosing::cancel);
        }
    }

    private void signalWriter() {
        mLock.lock();
        try {
            mWritable.signalAll();
        } finally {
            mLock.unlock();
        }
    }
}
