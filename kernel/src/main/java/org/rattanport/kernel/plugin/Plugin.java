package org.rattanport.kernel.plugin;

import java.util.Set;
import org.rattanport.kernel.time.Deadline;

/**
 * A part of an instance that the kernel finds with {@link java.util.ServiceLoader}, starts after
 * the plug-ins that it depends on and stops before them.
 */
public interface Plugin {
    /** Name shown in logs and errors; unique among the plug-ins of a process. */
    String name();

    /** Kinds of instance that this plug-in is a part of. */
    default Set<Edition> editions() {
        return Set.of(Edition.PROMPTS);
    }

    /** Service types that must be provided before this plug-in starts. */
    default Set<Class<?>> requires() {
        return Set.of();
    }

    /** Service types that this plug-in provides when it starts. */
    default Set<Class<?>> provides() {
        return Set.of();
    }

    /** Builds the services of this plug-in and registers them with the context. */
    void start(PluginContext context);

    /** Releases what {@link #start} took. Called in the reverse order of starting. */
    default void stop(Deadline deadline) {}
}
