package org.rattanport.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback port that stays reserved while its server is down. The socket is bound but does not
 * listen, so a server can listen at the port beside it, connections are refused without one, and
 * the system gives the port to nobody else.
 */
public final class HeldPort implements AutoCloseable {
    private final Socket mSocket = new Socket();

    /** Reserves a free port. */
    public HeldPort() {
        try {
            mSocket.setReuseAddress(true);
            mSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public int port() {
        return mSocket.getLocalPort();
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
