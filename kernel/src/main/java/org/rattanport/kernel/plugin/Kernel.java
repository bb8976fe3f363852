package org.rattanport.kernel.plugin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.Deadline;

/**
 * Starts the plug-ins of one instance in the order of their dependencies, and stops them in reverse
 * order.
 */
public final class Kernel {
    private static final Logger LOGGER = Logger.getLogger(Kernel.class);

    private final PluginContext mContext;
    private final List<Plugin> mStarted = new ArrayList<>();

    public Kernel(PluginContext context) {
        mContext = context;
    }

    public PluginContext context() {
        return mContext;
    }

    /** Loads every plug-in that is registered on the class path. */
    public static List<Plugin> registeredPlugins() {
        return ServiceLoader.load(Plugin.class).stream()
                .map(ServiceLoader.Provider::get)
                .sorted(Comparator.comparing(Plugin::name))
                .toList();
    }

    /** Loads the registered plug-ins of one edition. */
    public static List<Plugin> registeredPlugins(Edition edition) {
        return registeredPlugins().stream()
                .filter(plugin -> plugin.editions().contains(edition))
                .toList();
    }

    /**
     * Starts the plug-ins, each after the providers of what it requires.
     *
     * @throws RattanportException with code {@code PLUGIN_MISSING} when a requirement has no
     *     provider or the requirements form a cycle. The plug-ins that had started keep running
     *     until {@link #stop}
     */
    public void start(Collection<Plugin> plugins) {
        Set<Class<?>> provided = new HashSet<>();
        List<Plugin> pending = new ArrayList<>(plugins);
        while (!pending.isEmpty()) {
            Plugin next = nextStartable(pending, provided);
            LOGGER.debugf("starting plug-in %s", next.name());
            next.start(mContext);
            mStarted.add(next);
            pending.remove(next);
            provided.addAll(next.provides());
        }
    }

    /**
     * Stops the started plug-ins in reverse order. An error in one plug-in does not prevent the
     * others from stopping.
     */
    public void stop(Deadline deadline) {
        for (Plugin plugin : mStarted.reversed()) {
            try {
                plugin.stop(deadline);
            } catch (RuntimeException e) {
                LOGGER.errorf(e, "plug-in %s failed to stop", plugin.name());
            }
        }
        mStarted.clear();
    }

    private Plugin nextStartable(List<Plugin> pending, Set<Class<?>> provided) {
        return pending.stream()
                .filter(plugin -> isSatisfied(plugin, provided))
                .findFirst()
                .orElseThrow(() -> missingRequirements(pending, provided));
    }

    private boolean isSatisfied(Plugin plugin, Set<Class<?>> provided) {
        return plugin.requires().stream()
                .allMatch(type -> provided.contains(type) || mContext.find(type).isPresent());
    }

    private RattanportException missingRequirements(List<Plugin> pending, Set<Class<?>> provided) {
        String message =
                pending.stream()
                        .map(
                                plugin ->
                                        plugin.name()
                                                + " requires "
                                                + unmetRequirements(plugin, provided))
                        .collect(Collectors.joining("; "));
        return new RattanportException(ErrorCode.PLUGIN_MISSING, message);
    }

    private String unmetRequirements(Plugin plugin, Set<Class<?>> provided) {
        return plugin.requires().stream()
                .filter(type -> !provided.contains(type) && mContext.find(type).isEmpty())
                .map(Class::getSimpleName)
                .sorted()
                .collect(Collectors.joining(", "));
    }
}
