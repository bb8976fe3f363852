package org.rattanport.decisions.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.peer.PeerHandler;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;

/** Connects the instances of a test in memory; instances can be silenced. */
public final class PeerHub {
    private final Map<String, Map<Class<?>, PeerHandler<?>>> mHandlers = new HashMap<>();
    private final Set<String> mSilent = new HashSet<>();
    private final Set<String> mLosingReplies = new HashSet<>();
    private final List<PeerMessage> mMessages = new ArrayList<>();

    /** Returns the network as the instance at the address sees it. */
    public PeerNetwork networkOf(String address) {
        Map<Class<?>, PeerHandler<?>> handlers =
                mHandlers.computeIfAbsent(address, key -> new HashMap<>());
        return new PeerNetwork() {
            @Override
            public PeerMessage call(String peerAddress, PeerMessage request, Deadline deadline) {
                return deliver(peerAddress, request);
            }

            @Override
            public void send(String peerAddress, PeerMessage message, Deadline deadline) {
                deliver(peerAddress, message);
            }

            @Override
            public <T extends PeerMessage> void registerHandler(
                    Class<T> type, PeerHandler<T> handler) {
                handlers.put(type, handler);
            }
        };
    }

    /** The instance receives nothing any more. */
    public void silence(String address) {
        mSilent.add(address);
    }

    /** The instance handles what it receives, but its replies are lost. */
    public void loseReplies(String address) {
        mLosingReplies.add(address);
    }

    public void restore(String address) {
        mSilent.remove(address);
        mLosingReplies.remove(address);
    }

    /** All messages that an instance received. */
    public List<PeerMessage> messages() {
        return mMessages;
    }

    private synchronized PeerMessage deliver(String address, PeerMessage message) {
        if (mSilent.contains(address)) {
            throw unreachable(address);
        }
        mMessages.add(message);
        PeerHandler<?> handler = mHandlers.get(address).get(message.getClass());
        PeerMessage reply =
                handler == null ? new PeerMessage.Unhandled() : handle(handler, message);
        if (mLosingReplies.contains(address)) {
            throw unreachable(address);
        }
        return reply;
    }

    @SuppressWarnings("unchecked") // handlers are stored under their message type
    private static <T extends PeerMessage> PeerMessage handle(
            PeerHandler<T> handler, PeerMessage message) {
        return handler.handle((T) message);
    }

    private static RattanportException unreachable(String address) {
        return new RattanportException(
                ErrorCode.PEER_UNREACHABLE, address + " did not respond before the deadline");
    }
}
