package org.rattanport.connectors.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.rattanport.connectors.http.HttpMessagePart.BodyChunk;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Malformed;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;

/** One HTTP connection. Its task polls the received parts in order, and its writes may block. */
public final class HttpChannel extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = Logger.getLogger(HttpChannel.class);

    /** Time for which the other side may go on sending after this side ended its output. */
    private static final Duration CLOSE_LINGER = Duration.ofMillis(500);

    /** Time that the other side has to read what is written before the connection closes. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(10);

    /** Time that the event loop has to hand over what is written when the writer is interrupted. */
    private static final Duration INTERRUPTED_FLUSH_TIMEOUT = Duration.ofMillis(100);

    private final LinkedBlockingQueue<HttpMessagePart> mParts = new LinkedBlockingQueue<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWritable = mLock.newCondition();
    private final Cancellation mDisconnection = new Cancellation();
    private final Channel mChannel;
    private final ReceiveMemory.Claim mReceived;
    private final CountDownLatch mServed = new CountDownLatch(1);
    private boolean mIsBroken;
    private boolean mIsOutputEnded;

    /** Whether the last message that the event loop has read still arrives. */
    private boolean mIsMessageOpen;

    private boolean mMustEndRequests;
    private volatile boolean mHasEndedRequests;

    /** Whether the other side has ended its output, and the end of its response is awaited. */
    private volatile boolean mIsInputEnded;

    /** Serves a connection whose unread parts no other ones share their memory with. */
    public HttpChannel(Channel channel) {
        this(channel, new ReceiveMemory(Long.MAX_VALUE));
    }

    HttpChannel(Channel channel, ReceiveMemory memory) {
        mChannel = channel;
        mReceived = memory.open();
    }

    /** Cancelled when the connection is closed or breaks. */
    public Cancellation disconnection() {
        return mDisconnection;
    }

    /** Whether the connection is open and holds no unread parts. */
    boolean isReusable() {
        return mChannel.isActive() && mParts.isEmpty();
    }

    /** Waits for the next part; empty when none arrives within the timeout. */
    public Optional<HttpMessagePart> poll(Duration timeout) {
        try {
            HttpMessagePart part = mParts.poll(timeout.toNanos(), TimeUnit.NANOSECONDS);
            if (part instanceof Closed) {
                // Later calls find the end too, and do not wait for parts that cannot come.
                mParts.add(part);
            } else if (part != null) {
                mReceived.remove(part.heldBytes());
            }
            if (mReceived.isLow()) {
                resumeReading();
            }
            return Optional.ofNullable(part);
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    private void resumeReading() {
        if (isReadingOver() || mChannel.config().isAutoRead()) {
            return;
        }
        mChannel.config().setAutoRead(true);
        if (isReadingOver()) {
            // The event loop ended the reading meanwhile.
            mChannel.config().setAutoRead(false);
        }
    }

    private boolean isReadingOver() {
        return mHasEndedRequests || mIsInputEnded;
    }

    /**
     * Serves the requests of the connection, one after the other, until it or its requests end.
     *
     * @param idleTimeout longest wait for a request
     * @param serve serves a request and returns whether the connection may carry another one
     */
    public void serveRequests(Supplier<Duration> idleTimeout, Predicate<HttpRequest> serve) {
        try {
            boolean mayContinue = true;
            while (mayContinue && !(mHasEndedRequests && mParts.isEmpty())) {
                Optional<HttpMessagePart> part = poll(idleTimeout.get());
                if (part.isEmpty() || part.get() instanceof Closed) {
                    return;
                }
                mayContinue =
                        !(part.get() instanceof Head head)
                                || !(head.message() instanceof HttpRequest request)
                                || serve.test(request);
            }
        } finally {
            markServed();
        }
        endOutput();
    }

    /**
     * Ends the requests of the connection after the one that has begun to arrive, if any. Nothing
     * more is read until the output has ended, and then it is dropped. Runs in the event loop.
     */
    void endRequests() {
        mMustEndRequests = true;
        endRequestsBetweenMessages();
    }

    private void endRequestsBetweenMessages() {
        if (mMustEndRequests && !mIsMessageOpen && !mHasEndedRequests) {
            mHasEndedRequests = true;
            if (mServed.getCount() > 0) {
                mChannel.config().setAutoRead(false);
            }
            // Wakes the task if it waits for a request.
            add(new End());
        }
    }

    /** Says that the task serves no more requests. */
    void markServed() {
        mServed.countDown();
    }

    /** Releases the memory of the parts that no task takes any more. */
    void releaseReceived() {
        mReceived.close();
    }

    /** Waits until the task serves no more requests; returns whether that is so. */
    boolean awaitServed(Duration timeout) {
        try {
            return mServed.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    /**
     * Wakes the task that waits for a part; the task finds the connection closed for this reason.
     */
    public void abort(String reason) {
        mParts.add(new Closed(true, reason));
    }

    /**
     * Writes, and blocks while the send buffer is full. Returns false when the connection is closed
     * or the buffer stays full for the whole timeout.
     */
    public boolean write(HttpObject object, Duration timeout) {
        mChannel.writeAndFlush(object);
        if (mChannel.isWritable()) {
            return mChannel.isActive();
        }
        long remainingNanos = timeout.toNanos();
        mLock.lock();
        try {
            boolean isWritable = mChannel.isWritable();
            while (!isWritable && mChannel.isActive() && remainingNanos > 0) {
                remainingNanos = mWritable.awaitNanos(remainingNanos);
                isWritable = mChannel.isWritable();
            }
            return isWritable;
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Writes the end of a response, and blocks until the system has taken all that was written.
     * Resets the connection and returns false when that fails or lasts longer than the timeout. An
     * interrupt shortens the wait; the flag of the thread stays set.
     */
    public boolean writeLast(HttpObject object, Duration timeout) {
        return isTakenBySystem(mChannel.writeAndFlush(object), timeout);
    }

    private boolean isTakenBySystem(ChannelFuture written, Duration timeout) {
        try {
            if (written.await(timeout.toNanos(), TimeUnit.NANOSECONDS) && written.isSuccess()) {
                return true;
            }
        } catch (InterruptedException e) {
            RattanportException interruption = RattanportException.interrupted();
            if (!written.awaitUninterruptibly(INTERRUPTED_FLUSH_TIMEOUT.toMillis())
                    || !written.isSuccess()) {
                throw interruption;
            }
            return true;
        }
        reset();
        return false;
    }

    public ChannelFuture writeAsync(HttpObject object) {
        return mChannel.writeAndFlush(object);
    }

    public void close() {
        mReceived.close();
        mChannel.close();
    }

    /**
     * Shuts down the output and waits until the other side closes. An immediate close would answer
     * data that is still arriving with a reset, and the other side would lose the unread response.
     * What the system has not taken by the shutdown would be dropped.
     */
    public void endOutput() {
        if (mIsOutputEnded) {
            return;
        }
        mIsOutputEnded = true;
        if (mChannel instanceof SocketChannel socket
                && socket.isActive()
                && isTakenBySystem(mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER), FLUSH_TIMEOUT)) {
            socket.shutdownOutput();
            mChannel.config().setAutoRead(true);
            Optional<HttpMessagePart> part = poll(CLOSE_LINGER);
            while (part.isPresent() && !(part.get() instanceof Closed)) {
                part = poll(CLOSE_LINGER);
            }
        }
    }

    /** Closes the connection with a reset, which a reader cannot mistake for a complete end. */
    public void reset() {
        mReceived.close();
        try {
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The other side closed the connection first, so there is nothing to reset.
            LOGGER.debugf("connection was already closed before its reset: %s", e.getMessage());
        }
        mChannel.close();
    }

    /**
     * Queues a part. The decoder ends a close-delimited body whenever the channel becomes inactive,
     * also after a failed write; only while the channel is active has the other side ended it, and
     * whether in order shows when the rest of the request is written.
     */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mHasEndedRequests) {
            ReferenceCountUtil.release(message);
            return;
        }
        try {
            if (message instanceof HttpMessage head) {
                mIsMessageOpen = true;
                add(new Head(head));
            }
            if (message instanceof HttpContent content && content.decoderResult().isFailure()) {
                // Netty reports the end of a body after a malformed chunk as if it were complete.
                mIsBroken = true;
                add(new Malformed(String.valueOf(content.decoderResult().cause())));
            } else if (message instanceof HttpContent content) {
                if (content.content().isReadable()) {
                    add(new BodyChunk(ByteBufUtil.getBytes(content.content())));
                }
                if (message instanceof LastHttpContent && !mIsBroken && mChannel.isActive()) {
                    addEnd();
                }
            }
            if (message instanceof LastHttpContent || mIsBroken) {
                mIsMessageOpen = false;
                endRequestsBetweenMessages();
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
        if (mReceived.isFull() && !isReadingOver()) {
            mChannel.config().setAutoRead(false);
            if (mReceived.isLow()) {
                // The task took the parts meanwhile and may already wait for the next one.
                mChannel.config().setAutoRead(true);
            }
        }
    }

    private void add(HttpMessagePart part) {
        // The task may take the part at once, and must find it counted then.
        mReceived.add(part.heldBytes());
        mParts.add(part);
    }

    private void addEnd() {
        if (mChannel instanceof SocketChannel socket && socket.isInputShutdown()) {
            endAfterRequest();
        } else {
            add(new End());
        }
    }

    /**
     * Ends a body that the end of the connection delimits. A side that closes before it has read
     * all resets the connection, but its system may send an orderly end first; only a write meets
     * the reset then. Until the request is written, nothing is read, as each read would find the
     * end again.
     */
    private void endAfterRequest() {
        mIsInputEnded = true;
        mChannel.config().setAutoRead(false);
        mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        written -> {
                            if (written.isSuccess()) {
                                add(new End());
                            }
                            mChannel.close();
                        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        signalWriter();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !mIsInputEnded) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mIsBroken = true;
        end(String.valueOf(cause.getMessage()));
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end("the connection was closed");
        signalWriter();
    }

    /** A task that finds the end in the queue must also find the connection cancelled. */
    private void end(String reason) {
        // Cancellation actions may block on other connections, which the event loop must not do.
        mDisconnection.cancel(actions -> Tasks.start("connection-closed", actions));
        mParts.add(new Closed(mIsBroken, reason));
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
