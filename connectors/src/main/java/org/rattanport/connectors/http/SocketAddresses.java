package org.rattanport.connectors.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Parses addresses of the form {@code host:port}. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Returns the address; empty if the text has no port or the port is out of range. */
    public static Optional<InetSocketAddress> parse(String address) {
        OptionalInt port = port(address);
        return port.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new InetSocketAddress(
                                address.substring(0, address.lastIndexOf(':')), port.getAsInt()));
    }

    /** Returns the address to listen at, which the settings name. */
    public static InetSocketAddress requireLocal(String address) {
        return parse(address)
                .orElseThrow(
                        () ->
                                new RattanportException(
                                        ErrorCode.INVALID_SETTINGS,
                                        "not a valid address: " + address));
    }

    /** Returns the port, without resolving the host; empty if it is missing or out of range. */
    public static OptionalInt port(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            return OptionalInt.empty();
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return port < 0 || port > MAX_PORT ? OptionalInt.empty() : OptionalInt.of(port);
        } catch (NumberFormatException e) {
            return OptionalInt.empty();
        }
    }
}
