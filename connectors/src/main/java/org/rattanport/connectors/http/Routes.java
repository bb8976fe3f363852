package org.rattanport.connectors.http;

/** Collects the routes of a server. A path may contain parameters as <code>{name}</code>. */
public interface Routes {
    /** Handles one exchange on the task of its connection. */
    @FunctionalInterface
    interface ExchangeHandler {
        void handle(HttpExchange exchange);
    }

    /** Adds the handler of a method at a path. */
    void add(String method, String path, ExchangeHandler handler);

    default void get(String path, ExchangeHandler handler) {
        add("GET", path, handler);
    }

    default void post(String path, ExchangeHandler handler) {
        add("POST", path, handler);
    }

    default void put(String path, ExchangeHandler handler) {
        add("PUT", path, handler);
    }

    default void delete(String path, ExchangeHandler handler) {
        add("DELETE", path, handler);
    }
}
