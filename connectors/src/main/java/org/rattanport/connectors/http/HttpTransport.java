package org.rattanport.connectors.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import jdk.net.ExtendedSocketOptions;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.task.Tasks;

/** Opens and accepts connections. One event loop serves them all, and one task reads each. */
public final class HttpTransport implements AutoCloseable {
    /** Time that the event loop has to end. */
    private static final int MAX_CLOSE_SECONDS = 2;

    private static final int ACCEPT_BACKLOG = 1_024;

    /** Limit of a response's headers; back ends send a few hundred bytes. */
    private static final int MAX_RESPONSE_HEADER_BYTES = 65_536;

    /** Idle time before the first TCP keep-alive probe, and the interval between probes. */
    private static final int TCP_KEEP_ALIVE_SECONDS = 1;

    private static final int TCP_KEEP_ALIVE_PROBES = 3;

    /**
     * What the system holds of a request for a server that does not read it; Linux doubles it. It
     * held 1 MB and more without this bound, which counts toward the memory of the instance, and a
     * request that the server had not read looked written. A round trip within a region is about a
     * millisecond, so this sends 64 MB a second or more.
     */
    private static final int REQUEST_SEND_BUFFER_BYTES = 65_536;

    /**
     * What the system holds of a response for a caller that does not read it; Linux doubles it. It
     * held some megabytes without this bound. A caller that is 10 ms away gets 20 MB a second.
     */
    private static final int RESPONSE_SEND_BUFFER_BYTES = 196_608;

    /** What the system holds of a message that this process does not read; Linux doubles it. */
    private static final int RECEIVE_BUFFER_BYTES = 262_144;

    /** Messages that no task has taken may fill this part of the heap. */
    private static final int RECEIVE_SHARE = 8;

    private final ReceiveMemory mReceiveMemory =
            new ReceiveMemory(Runtime.getRuntime().maxMemory() / RECEIVE_SHARE);
    private final EventLoopGroup mEventLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final UnpooledByteBufAllocator mAllocator = new UnpooledByteBufAllocator(false, true);

    /** Accepts connections at the address and starts a task for each. */
    public Channel listen(String address, IntSupplier maxHeaderBytes, Consumer<HttpChannel> task) {
        return openIntake(address, maxHeaderBytes, task).listener();
    }

    /**
     * Accepts connections at the address and starts a task for each, until the intake is closed.
     */
    public HttpIntake openIntake(
            String address, IntSupplier maxHeaderBytes, Consumer<HttpChannel> task) {
        HttpIntake.Connections connections = new HttpIntake.Connections();
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(mEventLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        .childOption(ChannelOption.SO_SNDBUF, RESPONSE_SEND_BUFFER_BYTES)
                        .childOption(ChannelOption.ALLOCATOR, mAllocator)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<NioSocketChannel>() {
                                    @Override
                                    protected void initChannel(NioSocketChannel channel) {
                                        HttpChannel accepted =
                                                accept(channel, maxHeaderBytes.getAsInt());
                                        connections.add(accepted);
                                        Tasks.start(
                                                "caller-connection",
                                                () -> connections.serve(accepted, task));
                                    }
                                });
        var bound = server.bind(SocketAddresses.requireLocal(address)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_SETTINGS,
                            "cannot listen at " + address + ": " + bound.cause().getMessage())
                    .build();
        }
        return new HttpIntake(bound.channel(), connections);
    }

    private HttpChannel accept(NioSocketChannel channel, int maxHeaderBytes) {
        HttpChannel accepted = new HttpChannel(channel, mReceiveMemory);
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setValidateHeaders(true);
        channel.pipeline().addLast(new HttpServerCodec(config), accepted);
        return accepted;
    }

    /**
     * Opens a connection.
     *
     * @throws RattanportException with verdict {@code NOT_RUN} when the timeout expires or the
     *     server refuses the connection
     */
    public HttpChannel connect(String address, Duration timeout) {
        InetSocketAddress remote =
                SocketAddresses.parse(address)
                        .filter(each -> !mEventLoop.isShuttingDown())
                        .orElseThrow(() -> cannotConnect(address));
        HttpChannel[] opened = new HttpChannel[1];
        Bootstrap client =
                new Bootstrap()
                        .group(mEventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, mAllocator)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        .option(ChannelOption.SO_SNDBUF, REQUEST_SEND_BUFFER_BYTES)
                        // Tells an orderly end of the response from every other close.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                                TCP_KEEP_ALIVE_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                                TCP_KEEP_ALIVE_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                                TCP_KEEP_ALIVE_PROBES)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, timeout.toMillis()))
                        .handler(
                                new ChannelInitializer<NioSocketChannel>() {
                                    @Override
                                    protected void initChannel(NioSocketChannel channel) {
                                        opened[0] = new HttpChannel(channel, mReceiveMemory);
                                        channel.pipeline().addLast(clientCodec(), opened[0]);
                                    }
                                });
        var connecting = client.connect(remote);
        if (!isConnected(connecting, timeout)) {
            connecting.channel().close();
            throw cannotConnect(address);
        }
        return opened[0];
    }

    private static RattanportException cannotConnect(String address) {
        return RattanportException.builder(ErrorCode.TARGET_FAILED, "cannot connect to " + address)
                .verdict(Verdict.NOT_RUN)
                .build();
    }

    private static boolean isConnected(ChannelFuture connecting, Duration timeout) {
        try {
            boolean isDone = connecting.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
            if (Thread.interrupted()) {
                // The wait for a connection that is already open ignores an interrupt.
                throw new InterruptedException();
            }
            return isDone && connecting.isSuccess();
        } catch (InterruptedException e) {
            connecting.channel().close();
            throw RattanportException.interrupted();
        }
    }

    private static HttpClientConnectionCodec clientCodec() {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_RESPONSE_HEADER_BYTES)
                        .setMaxHeaderSize(MAX_RESPONSE_HEADER_BYTES)
                        .setValidateHeaders(false);
        return new HttpClientConnectionCodec(config);
    }

    @Override
    public void close() {
        // The system frees the port of a listener only when the event loop has dropped its key.
        mEventLoop
                .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .awaitUninterruptibly(MAX_CLOSE_SECONDS, TimeUnit.SECONDS);
    }
}
