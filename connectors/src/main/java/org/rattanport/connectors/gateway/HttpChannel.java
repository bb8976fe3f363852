package org.rattanport.connectors.gateway;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.rattanport.connectors.gateway.HttpMessagePart.Closed;
import org.rattanport.connectors.gateway.HttpMessagePart.End;
import org.rattanport.connectors.gateway.HttpMessagePart.Head;
import org.rattanport.connectors.gateway.HttpMessagePart.Piece;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;

/** One connection as its task sees it: parts to take in order, and writes that may wait. */
final class HttpChannel extends ChannelInboundHandlerAdapter {
    /** Parts that may wait for the task before the peer is held back. */
    private static final int MOST_WAITING = 64;

    private static final int FEW_WAITING = 16;

    private final LinkedBlockingQueue<HttpMessagePart> mParts = new LinkedBlockingQueue<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWritable = mLock.newCondition();
    private final Cancellation mClosing = new Cancellation();
    private final Channel mChannel;
    private boolean mIsBroken;

    HttpChannel(Channel channel) {
        mChannel = channel;
    }

    Channel channel() {
        return mChannel;
    }

    /** Cancelled when the other side closes the connection or it breaks. */
    Cancellation closing() {
        return mClosing;
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    /** Takes the next part; empty when none came in that time. */
    Optional<HttpMessagePart> take(Duration longest) {
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

    /** Ends the waiting of the task with the given reason. */
    void abort(String reason) {
        mParts.add(new Closed(true, reason));
    }

    /** Writes, and waits while the other side does not read; false when it never did. */
    boolean write(HttpObject object, Duration longest) {
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

    ChannelFuture writeLast(HttpObject object) {
        return mChannel.writeAndFlush(object);
    }

    void close() {
        mChannel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpMessage head) {
                mParts.add(new Head(head));
            }
            if (message instanceof HttpContent content) {
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
            org.rattanport.kernel.task.Tasks.start("connection-closed", mClosing::cancel);
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
