package org.rattanport.connectors.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Makes sockets that send small writes at once, since tokens are small and must not wait. */
public final class NoDelaySocketFactory extends SocketFactory {
    private final SocketFactory mStandard = SocketFactory.getDefault();

    @Override
    public Socket createSocket() throws IOException {
        return configured(mStandard.createSocket());
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return configured(mStandard.createSocket(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
            throws IOException {
        return configured(mStandard.createSocket(host, port, localHost, localPort));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return configured(mStandard.createSocket(host, port));
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort)
            throws IOException {
        return configured(mStandard.createSocket(host, port, localHost, localPort));
    }

    private static Socket configured(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        return socket;
    }
}
