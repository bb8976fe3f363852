package org.rattanport.connectors.caller;

/** Takes the routes of an endpoint. A path may hold parameters as <code>{name}</code>. */
public interface Routes {
    /** Handles one exchange on the task of its connection. */
    @FunctionalInterface
    interface ExchangeHandler {
        void handle(Exchange exchange);
    }

    void get(String path, ExchangeHandler handler);

    void post(String path, ExchangeHandler handler);

    void put(String path, ExchangeHandler handler);
}
