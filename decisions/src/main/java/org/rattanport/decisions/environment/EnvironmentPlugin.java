package org.rattanport.decisions.environment;

import java.util.Set;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.DocumentParser;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;

/** Provides the active environment documents and the store of their versions. */
public final class EnvironmentPlugin implements Plugin {
    @Override
    public String name() {
        return "environment";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                InstanceSettings.class,
                TableService.class,
                RowCodec.class,
                DocumentParser.class,
                AuditTrail.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(ActiveEnvironments.class, DocumentStore.class);
    }

    @Override
    public void start(PluginContext context) {
        DocumentParser parser = context.require(DocumentParser.class);
        String environment = context.require(InstanceSettings.class).environment();
        context.provide(
                ActiveEnvironments.class,
                new EnvironmentHolder(environment, parser, context.events()));
        context.provide(
                DocumentStore.class,
                new DocumentStore(
                        context.require(TableService.class),
                        context.require(RowCodec.class),
                        parser,
                        context.require(AuditTrail.class),
                        context.time()));
    }
}
