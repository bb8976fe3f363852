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

/** One connection to a peer as its task sees it: frames are taken and written in blocking calls. */
final class PeerChannel implements AutoCloseable {
    private static final int LARGEST_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;
    private static final int WAITING_FRAMES = 256;
    private static final Frame CLOSED = Frame.newBuilder().setCorrelation(-1).build();

    private final BlockingQueue<Frame> mFrames = new LinkedBlockingQueue<>(WAITING_FRAMES + 1);
    private final Channel mChannel;

    PeerChannel(Channel channel, PeerTraffic traffic) {
        mChannel = channel;
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(traffic.counter());
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        LARGEST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(new Receiver());
    }

    /** Waits for the next frame; empty when none came in time. */
    Optional<Frame> take(long nanos) {
        try {
            Frame frame = mFrames.poll(Math.max(0, nanos), TimeUnit.NANOSECONDS);
            if (frame == CLOSED) {
                throw closed();
            }
            return Optional.ofNullable(frame);
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    void write(Frame frame) {
        if (!mChannel.isActive()) {
            throw closed();
        }
        if (!mChannel.isWritable()) {
            // What a silent peer does not take would gather in memory.
            mChannel.close();
            throw new RattanportException(
                    ErrorCode.PEER_UNREACHABLE, "the peer does not take what it is sent");
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

    private static RattanportException closed() {
        return new RattanportException(
                ErrorCode.PEER_UNREACHABLE, "the connection to the peer is closed");
    }

    private final class Receiver extends SimpleChannelInboundHandler<Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            // A peer that floods is cut off, so that waiting frames stay bounded.
            if (mFrames.size() >= WAITING_FRAMES || !mFrames.offer(frame)) {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mFrames.offer(CLOSED);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
