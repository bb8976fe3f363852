package org.rattanport.connectors.json;

import java.util.Set;
import org.rattanport.kernel.environment.DocumentParser;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;

/** Provides the codec of stored rows and the parser of environment documents. */
public final class JsonPlugin implements Plugin {
    @Override
    public String name() {
        return "json";
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(RowCodec.class, DocumentParser.class);
    }

    @Override
    public void start(PluginContext context) {
        context.provide(RowCodec.class, new JsonRowCodec());
        context.provide(DocumentParser.class, new JsonDocumentParser());
    }
}
