package org.rattanport.connectors.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.rattanport.connectors.peer.protocol.Frame;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** One connection to a peer. Its task waits for frames in blocking calls; writes do not block. */
final class PeerChannel implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_QUEUED_FRAMES = 256;

    /** Queued after the last frame of a closed connection; the queue has one slot more for it. */
    private static final Frame CLOSED_MARKER = Frame.newBuilder().setCorrelation(-1).build();

    private final BlockingQueue<Frame> mFrames = new LinkedBlockingQueue<>(MAX_QUEUED_FRAMES + 1);
    private final Channel mChannel;

    PeerChannel(Channel channel, PeerTraffic traffic) {
        mChannel = channel;
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(traffic.countingHandler());
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(new FrameReceiver());
    }

    /** Waits for the next frame; empty when none arrives within the timeout. */
    Optional<Frame> poll(long timeoutNanos) {
        try {
            Frame frame = mFrames.poll(Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
            if (frame == CLOSED_MARKER) {
                throw connectionClosed();
            }
            return Optional.ofNullable(frame);
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    void write(Frame frame) {
        if (!mChannel.isActive()) {
            throw connectionClosed();
        }
        if (!mChannel.isWritable()) {
            // Frames that the peer does not read would accumulate in memory.
            mChannel.close();
            throw new RattanportException(
                    ErrorCode.PEER_UNREACHABLE,
                    "the peer does not read the frames that it is sent");
        }
        mChannel.writeAndFlush(frame);
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    @Override
    public void close() {
        mChannel.close();
    }

    private static RattanportException connectionClosed() {
        return new RattanportException(
                ErrorCode.PEER_UNREACHABLE, "the connection to the peer is closed");
    }

    private final class FrameReceiver extends SimpleChannelInboundHandler<Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            // Disconnects a peer that sends faster than its frames are handled; the queue is
            // bounded.
            if (mFrames.size() >= MAX_QUEUED_FRAMES || !mFrames.offer(frame)) {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mFrames.offer(CLOSED_MARKER);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
