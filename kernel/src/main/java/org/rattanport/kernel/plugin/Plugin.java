package org.rattanport.kernel.plugin;

import java.util.Set;
import org.rattanport.kernel.time.Deadline;

/**
 * A part of an instance. The kernel finds plug-ins with {@link java.util.ServiceLoader}, starts
 * each after the plug-ins that it depends on and stops it before them.
 */
public interface Plugin {
    /** Returns the name for logs and errors; it is unique among the plug-ins of a process. */
    String name();

    /** Returns the editions that this plug-in is a part of. */
    default Set<Edition> editions() {
        return Set.of(Edition.PROMPTS);
    }

    /** Returns the service types that must be provided before this plug-in starts. */
    default Set<Class<?>> requires() {
        return Set.of();
    }

    /** Returns the service types that this plug-in provides when it starts. */
    default Set<Class<?>> provides() {
        return Set.of();
    }

    /** Creates the services of this plug-in and registers them with the context. */
    void start(PluginContext context);

    /**
     * Releases the resources that {@link #start} acquired. Plug-ins stop in reverse order of
     * starting.
     */
    default void stop(Deadline deadline) {}
}
