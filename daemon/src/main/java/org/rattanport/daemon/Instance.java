package org.rattanport.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.decisions.lifecycle.Drain;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Kernel;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.LocalAddresses;
import org.rattanport.kernel.settings.PolicyChoice;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** One entry instance in this process; starts and stops all registered plug-ins of its edition. */
public final class Instance {
    private static final Logger LOGGER = Logger.getLogger(Instance.class);
    private static final Duration PLUGIN_STOP_TIMEOUT = Duration.ofSeconds(5);

    private final Kernel mKernel;
    private final InstanceSettings mSettings;
    private final TimeSource mTime;

    private Instance(Kernel kernel, InstanceSettings settings, TimeSource time) {
        mKernel = kernel;
        mSettings = settings;
        mTime = time;
    }

    public static Builder builder(InstanceSettings settings) {
        return new Builder(settings);
    }

    public PluginContext context() {
        return mKernel.context();
    }

    public InstanceId id() {
        return context().require(InstanceId.class);
    }

    /** Returns the addresses that the instance has bound. */
    public LocalAddresses localAddresses() {
        return context().require(LocalAddresses.class);
    }

    /** Drains and stops the instance; returns whether all requests ended before the drain limit. */
    public boolean stop() {
        Deadline deadline = Deadline.after(mTime, mSettings.timings().drainLimit());
        boolean isDrained = context().require(Drain.class).drain(deadline);
        kill();
        return isDrained;
    }

    /** Stops without draining, as after a crash, but releases ports and threads. */
    public void kill() {
        mKernel.stop(Deadline.after(mTime, PLUGIN_STOP_TIMEOUT));
        LOGGER.info(LogLine.of("instance-stopped").with("instance", mSettings.instanceName()));
    }

    /** Configures and starts an instance. */
    public static final class Builder {
        private final InstanceSettings mSettings;
        private final TimeSource mTime = new SystemTimeSource();
        private final List<Consumer<PluginContext>> mServiceProviders = new ArrayList<>();
        private Optional<PolicyChoice> mPolicy = Optional.empty();
        private Edition mEdition = Edition.PROMPTS;

        private Builder(InstanceSettings settings) {
            mSettings = settings;
        }

        /** Sets policies other than the defaults. */
        public Builder policy(PolicyChoice policy) {
            mPolicy = Optional.of(policy);
            return this;
        }

        /**
         * Sets an edition other than {@link Edition#PROMPTS}, which has the project's own HTTP API.
         */
        public Builder edition(Edition edition) {
            mEdition = edition;
            return this;
        }

        /** Provides a service to the plug-ins before they start. */
        public <T> Builder provide(Class<T> type, T service) {
            mServiceProviders.add(context -> context.provide(type, service));
            return this;
        }

        /**
         * Starts every registered plug-in of the edition. If a plug-in fails to start, those that
         * have started are stopped.
         */
        public Instance start() {
            PluginContext context = new PluginContext(new EventStreams(), mTime);
            context.provide(InstanceSettings.class, mSettings);
            context.provide(
                    InstanceId.class, new InstanceId(mSettings.instanceName(), mTime.wallMillis()));
            mPolicy.ifPresent(policy -> context.provide(PolicyChoice.class, policy));
            mServiceProviders.forEach(each -> each.accept(context));
            Kernel kernel = new Kernel(context);
            try {
                kernel.start(Kernel.registeredPlugins(mEdition));
            } catch (RuntimeException e) {
                kernel.stop(Deadline.after(mTime, PLUGIN_STOP_TIMEOUT));
                throw e;
            }
            Instance instance = new Instance(kernel, mSettings, mTime);
            LOGGER.info(
                    LogLine.of("instance-started")
                            .with("instance", instance.id())
                            .with("callers", instance.localAddresses().callerAddress())
                            .with("peers", instance.localAddresses().peerAddress()));
            return instance;
        }
    }
}
