package org.rattanport.kernel.plugin;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.time.TimeSource;

/**
 * Gives a plug-in access to its instance: the services of other plug-ins, the event streams and the
 * clock.
 */
public final class PluginContext {
    private final Map<Class<?>, Object> mServices = new HashMap<>();
    private final EventStreams mEvents;
    private final TimeSource mTime;

    public PluginContext(EventStreams events, TimeSource time) {
        mEvents = events;
        mTime = time;
    }

    public EventStreams events() {
        return mEvents;
    }

    public TimeSource time() {
        return mTime;
    }

    /**
     * Registers the implementation of a service type; each type has one implementation per
     * instance.
     */
    public synchronized <T> void provide(Class<T> type, T service) {
        if (mServices.putIfAbsent(type, service) != null) {
            throw new RattanportException(
                    ErrorCode.PLUGIN_CONFLICT, "service " + type.getName() + " is provided twice");
        }
    }

    /**
     * Returns the service of the given type.
     *
     * @throws RattanportException with code {@code PLUGIN_MISSING} when no plug-in has provided it
     */
    public <T> T require(Class<T> type) {
        return find(type)
                .orElseThrow(
                        () ->
                                new RattanportException(
                                        ErrorCode.PLUGIN_MISSING,
                                        "no plug-in provides " + type.getName()));
    }

    /** Returns the service of the given type, if a plug-in has provided it. */
    public synchronized <T> Optional<T> find(Class<T> type) {
        return Optional.ofNullable(mServices.get(type)).map(type::cast);
    }
}
