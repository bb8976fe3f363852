package org.rattanport.connectors.platform;

import java.util.Optional;
import java.util.Set;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.platform.InstanceList;
import org.rattanport.kernel.platform.ObjectStore;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.time.Deadline;

/** Provides the clients of the platform's services. */
public final class PlatformPlugin implements Plugin {
    private Optional<HttpClient> mHttp = Optional.empty();

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(InstanceSettings.class, HttpTransport.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(TableService.class, ObjectStore.class, InstanceList.class);
    }

    @Override
    public void start(PluginContext context) {
        InstanceSettings.PlatformBaseUrls addresses =
                context.require(InstanceSettings.class).platform();
        HttpClient http =
                HttpClient.withConnectionPool(context.require(HttpTransport.class), context.time());
        mHttp = Optional.of(http);
        context.provide(TableService.class, new HttpTableService(http, addresses.tableService()));
        context.provide(ObjectStore.class, new HttpObjectStore(http, addresses.objectStore()));
        context.provide(InstanceList.class, new HttpInstanceList(http, addresses.instanceList()));
    }

    @Override
    public void stop(Deadline deadline) {
        mHttp.ifPresent(HttpClient::close);
    }
}
