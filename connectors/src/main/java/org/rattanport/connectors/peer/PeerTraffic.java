package org.rattanport.connectors.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes exchanged with peers, without the headers of TCP and IP. */
public final class PeerTraffic {
    private final LongAdder mReceived = new LongAdder();
    private final LongAdder mSent = new LongAdder();
    private final CountingHandler mCountingHandler = new CountingHandler();

    public long receivedBytes() {
        return mReceived.sum();
    }

    public long sentBytes() {
        return mSent.sum();
    }

    ChannelHandler countingHandler() {
        return mCountingHandler;
    }

    @ChannelHandler.Sharable
    private final class CountingHandler extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                mReceived.add(bytes.readableBytes());
            }
            super.channelRead(context, message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
                throws Exception {
            if (message instanceof ByteBuf bytes) {
                mSent.add(bytes.readableBytes());
            }
            super.write(context, message, promise);
        }
    }
}
