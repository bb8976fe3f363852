package org.rattanport.connectors.http;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses addresses of the form {@code host:port}. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Returns the address; empty if the text has no port or the port is out of range. */
    public static Optional<InetSocketAddress> parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return port < 0 || port > MAX_PORT
                    ? Optional.empty()
                    : Optional.of(new InetSocketAddress(address.substring(0, colon), port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
