package org.rattanport.connectors.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.rattanport.connectors.http.SocketAddresses;
import org.rattanport.kernel.task.Tasks;

/** Passes connections on; open ones can fall silent, without an end, while new ones work. */
final class SilencingProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket mListener;
    private final InetSocketAddress mTarget;

    /** Connections that were accepted before the last increment are silent. */
    private volatile int mSilenced;

    SilencingProxy(String target) {
        mTarget = SocketAddresses.parse(target).orElseThrow();
        try {
            mListener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Tasks.start("proxy", this::accept);
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    void silenceOpenConnections() {
        mSilenced++;
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket accepted = mListener.accept();
                Socket connected = new Socket(mTarget.getAddress(), mTarget.getPort());
                int silencedAtAccept = mSilenced;
                Tasks.start("proxy-out", () -> copy(accepted, connected, silencedAtAccept));
                Tasks.start("proxy-in", () -> copy(connected, accepted, silencedAtAccept));
            } catch (IOException e) {
                // The listener was closed.
                return;
            }
        }
    }

    private void copy(Socket from, Socket to, int silencedAtAccept) {
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (silencedAtAccept == mSilenced) {
                    output.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // One of the sides closed its connection.
        }
    }

    @Override
    public void close() {
        try {
            mListener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
