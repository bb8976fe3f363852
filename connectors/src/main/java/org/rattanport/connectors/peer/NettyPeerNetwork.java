package org.rattanport.connectors.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.rattanport.connectors.http.SocketAddresses;
import org.rattanport.connectors.peer.protocol.Frame;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.peer.PeerHandler;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** The peer network over TCP. One task at either end serves each connection. */
public final class NettyPeerNetwork implements PeerNetwork, AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(NettyPeerNetwork.class);
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);
    private static final int ACCEPT_BACKLOG = 512;

    private final PeerSecret mSecret;
    private final PeerCodec mCodec = new PeerCodec();
    private final TimeSource mTime;
    private final EventLoopGroup mEventLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<Class<?>, PeerHandler<?>> mHandlers = new ConcurrentHashMap<>();
    private final Map<String, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final Set<PeerChannel> mAccepted = ConcurrentHashMap.newKeySet();
    private final PeerTraffic mTraffic = new PeerTraffic();
    private final FlowableProcessor<String> mLostPeers =
            PublishProcessor.<String>create().toSerialized();
    private final Channel mServer;

    public NettyPeerNetwork(String bindAddress, String secret, TimeSource time) {
        mSecret = new PeerSecret(secret);
        mTime = time;
        mServer = bind(bindAddress);
    }

    private Channel bind(String address) {
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(mEventLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<NioSocketChannel>() {
                                    @Override
                                    protected void initChannel(NioSocketChannel channel) {
                                        PeerChannel accepted = new PeerChannel(channel, mTraffic);
                                        Tasks.start(
                                                "peer-connection", () -> serveConnection(accepted));
                                    }
                                });
        var bound = server.bind(SocketAddresses.requireLocal(address)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            mEventLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw RattanportException.builder(
                            ErrorCode.INVALID_SETTINGS,
                            "cannot listen at " + address + ": " + bound.cause().getMessage())
                    .field("peer_address")
                    .build();
        }
        return bound.channel();
    }

    /** Returns the bound address, with the actual port where port 0 was given. */
    public String boundAddress() {
        InetSocketAddress address = (InetSocketAddress) mServer.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the byte counts of the traffic with peers. */
    public PeerTraffic traffic() {
        return mTraffic;
    }

    @Override
    public Flowable<String> lostPeers() {
        return mLostPeers.onBackpressureDrop();
    }

    @Override
    public <T extends PeerMessage> void registerHandler(Class<T> type, PeerHandler<T> handler) {
        mHandlers.put(type, handler);
    }

    @Override
    public PeerMessage call(String peerAddress, PeerMessage request, Deadline deadline) {
        return withLink(peerAddress, deadline, link -> link.call(request, deadline));
    }

    @Override
    public void send(String peerAddress, PeerMessage message, Deadline connectDeadline) {
        withLink(
                peerAddress,
                connectDeadline,
                link -> {
                    link.send(message);
                    return message;
                });
    }

    private PeerMessage withLink(
            String address, Deadline deadline, Function<PeerLink, PeerMessage> action) {
        if (mEventLoop.isShuttingDown()) {
            throw new RattanportException(
                    ErrorCode.PEER_UNREACHABLE, "the peer network of this instance is closed");
        }
        try {
            return action.apply(link(address, deadline));
        } catch (RejectedExecutionException | IllegalStateException e) {
            // The event loop was shut down after the check above.
            throw RattanportException.builder(
                            ErrorCode.PEER_UNREACHABLE,
                            "the peer network of this instance is closed")
                    .cause(e)
                    .build();
        }
    }

    private PeerLink link(String address, Deadline deadline) {
        PeerLink open = mLinks.get(address);
        if (open != null && open.isOpen()) {
            return open;
        }
        PeerLink connected = connect(address, deadline);
        PeerLink previous = mLinks.put(address, connected);
        if (previous != null) {
            previous.close();
        }
        return connected;
    }

    private PeerLink connect(String address, Deadline deadline) {
        PeerChannel[] channel = new PeerChannel[1];
        Bootstrap client =
                new Bootstrap()
                        .group(mEventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, deadline.remaining(mTime).toMillis()))
                        .handler(
                                new ChannelInitializer<NioSocketChannel>() {
                                    @Override
                                    protected void initChannel(NioSocketChannel created) {
                                        channel[0] = new PeerChannel(created, mTraffic);
                                    }
                                });
        var connecting =
                client.connect(
                        SocketAddresses.parse(address).orElseThrow(() -> unreachable(address)));
        boolean isDone =
                connecting.awaitUninterruptibly(
                        deadline.remaining(mTime).toNanos(), TimeUnit.NANOSECONDS);
        if (!isDone || !connecting.isSuccess()) {
            connecting.channel().close();
            throw unreachable(address);
        }
        return PeerLink.open(
                channel[0], mSecret, mCodec, mTime, () -> mLostPeers.onNext(address), deadline);
    }

    private static RattanportException unreachable(String address) {
        return new RattanportException(ErrorCode.PEER_UNREACHABLE, "cannot connect to " + address);
    }

    private void serveConnection(PeerChannel channel) {
        mAccepted.add(channel);
        try {
            if (!authenticate(channel)) {
                return;
            }
            while (true) {
                var frame = channel.poll(IDLE_TIMEOUT.toNanos());
                if (frame.isEmpty()) {
                    return;
                }
                if (frame.get().getCorrelation() == PeerLink.ONE_WAY) {
                    mCodec.decode(frame.get()).ifPresent(this::dispatch);
                    continue;
                }
                // A slow request must not delay a probe that follows it.
                Tasks.start("peer-question", () -> respond(channel, frame.get()));
            }
        } catch (RattanportException e) {
            LOGGER.debugf("peer connection ended: %s", e.getMessage());
        } finally {
            mAccepted.remove(channel);
            channel.close();
        }
    }

    private boolean authenticate(PeerChannel channel) {
        Deadline deadline = Deadline.after(mTime, HANDSHAKE_TIMEOUT);
        byte[] serverNonce = mSecret.nonce();
        channel.write(PeerLink.handshakeFrame(serverNonce, new byte[0]));
        var handshake = PeerLink.receiveHandshake(channel, mTime, deadline);
        byte[] clientNonce = handshake.getNonce().toByteArray();
        byte[] expected = mSecret.proof("client", serverNonce, clientNonce);
        if (!PeerSecret.matches(expected, handshake.getProof().toByteArray())) {
            LOGGER.warn(
                    "rejected a connection to the peer port: the client did not prove that it has"
                            + " the shared secret");
            return false;
        }
        byte[] proof = mSecret.proof("server", serverNonce, clientNonce);
        channel.write(PeerLink.handshakeFrame(new byte[0], proof));
        return true;
    }

    private void respond(PeerChannel channel, Frame frame) {
        try {
            PeerMessage response =
                    mCodec.decode(frame).map(this::dispatch).orElse(new PeerMessage.Unhandled());
            channel.write(
                    mCodec.encode(response)
                            .setCorrelation(frame.getCorrelation())
                            .setIsAnswer(true)
                            .build());
        } catch (RattanportException e) {
            LOGGER.debugf("cannot respond to a peer's request: %s", e.getMessage());
        }
    }

    private PeerMessage dispatch(PeerMessage message) {
        PeerHandler<?> handler = mHandlers.get(message.getClass());
        return handler == null ? new PeerMessage.Unhandled() : callHandler(handler, message);
    }

    @SuppressWarnings(
            "unchecked") // registerHandler() registers each handler under its message type
    private static <T extends PeerMessage> PeerMessage callHandler(
            PeerHandler<T> handler, PeerMessage message) {
        return handler.handle((T) message);
    }

    @Override
    public void close() {
        mServer.close().awaitUninterruptibly();
        mLinks.values().forEach(PeerLink::close);
        mAccepted.forEach(PeerChannel::close);
        mEventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
