package org.rattanport.connectors.target;

import java.util.Optional;
import java.util.Set;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.ServiceClient;
import org.rattanport.kernel.time.Deadline;

/** Provides the clients of engines and plain services, and the request journal. */
public final class TargetClientPlugin implements Plugin {
    /** Longest response that is held in memory; prompts are streamed. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    private Optional<HttpClient> mHttp = Optional.empty();

    @Override
    public String name() {
        return "target-clients";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(HttpTransport.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(EngineClient.class, ServiceClient.class, RequestJournal.class);
    }

    @Override
    public void start(PluginContext context) {
        // Responses of targets name no request: on a connection that is reused, a late copy of an
        // earlier refusal would look like the response to the next call.
        HttpClient http =
                HttpClient.withoutConnectionPool(
                                context.require(HttpTransport.class), context.time())
                        .withMaxResponseBytes(MAX_RESPONSE_BYTES);
        mHttp = Optional.of(http);
        context.provide(EngineClient.class, new HttpEngineClient(http, context.time()));
        context.provide(ServiceClient.class, new HttpServiceClient(http));
        context.provide(RequestJournal.class, new RequestJournal(context.time()));
    }

    @Override
    public void stop(Deadline deadline) {
        mHttp.ifPresent(HttpClient::close);
    }
}
