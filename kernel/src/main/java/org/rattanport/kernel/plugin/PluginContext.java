package org.rattanport.kernel.plugin;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.time.TimeSource;

/** What a plug-in sees of its instance: the services of others, the event streams and the time. */
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

    /** Registers the one implementation of a service type in this instance. */
    public synchronized <T> void provide(Class<T> type, T service) {
        if (mServices.putIfAbsent(type, service) != null) {
            throw new RattanportException(
                    ErrorCode.PLUGIN_CONFLICT, "service " + type.getName() + " is provided twice");
        }
    }

    /** Returns the service of the given type, which a plug-in must have provided before. */
    public <T> T require(Class<T> type) {
        return find(type)
                .orElseThrow(
                        () ->
                                new RattanportException(
                                        ErrorCode.PLUGIN_MISSING,
                                        "no plug-in provides " + type.getName()));
    }

    /** Returns the service of the given type, if any plug-in has provided it. */
    public synchronized <T> Optional<T> find(Class<T> type) {
        return Optional.ofNullable(mServices.get(type)).map(type::cast);
    }
}
