package org.rattanport.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.decisions.lifecycle.Drain;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Kernel;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.LocalAddresses;
import org.rattanport.kernel.settings.PolicyChoice;
import org.rattanport.kernel.task.PeriodicTask;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.Pulse;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** One entry instance in this process; starts and stops all registered plug-ins of its edition. */
public final class Instance {
    private static final Logger LOGGER = Logger.getLogger(Instance.class);
    private static final Duration PLUGIN_STOP_TIMEOUT = Duration.ofSeconds(5);

    private final Kernel mKernel;
    private final InstanceSettings mSettings;
    private final Edition mEdition;
    private final TimeSource mTime;
    private final CompletableFuture<Void> mStarted = new CompletableFuture<>();
    private final Pulse mPulse;
    private final PeriodicTask mPulseTask;

    private Instance(Kernel kernel, InstanceSettings settings, Edition edition, TimeSource time) {
        mKernel = kernel;
        mSettings = settings;
        mEdition = edition;
        mTime = time;
        mPulse = new Pulse(time);
        mPulseTask = new PeriodicTask("pulse", time, Pulse.INTERVAL, mPulse::beat);
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

    /**
     * Starts the plug-ins. If one fails to start, those that have started are stopped.
     *
     * @throws RuntimeException the error of the plug-in
     */
    public void start() {
        try {
            mKernel.start(Kernel.registeredPlugins(mEdition));
            mStarted.complete(null);
        } catch (RuntimeException e) {
            mStarted.completeExceptionally(e);
            mKernel.stop(Deadline.after(mTime, PLUGIN_STOP_TIMEOUT));
            mPulseTask.close();
            throw e;
        }
        LOGGER.info(
                LogLine.of("instance-started")
                        .with("instance", id())
                        .with("callers", localAddresses().callerAddress())
                        .with("peers", localAddresses().peerAddress()));
    }

    /** Whether the start has failed. */
    public boolean hasFailedToStart() {
        return mStarted.isCompletedExceptionally();
    }

    /**
     * Drains and stops the instance, also while it starts: it may already have accepted requests
     * then. Returns whether all requests ended before the drain limit, which counts from the call.
     * The time until requests are refused counts from the start of a pause of the process, if the
     * call may have come late under one: callers count it from the signal.
     */
    public boolean stop() {
        Duration pause = mPulse.sincePause(mSettings.timings().addressTimeToLive());
        if (pause.isPositive()) {
            LOGGER.info(LogLine.of("stop-heard-late").with("paused_millis", pause.toMillis()));
        }
        long signalNanos = mTime.nanoTime() - pause.toNanos();
        Deadline deadline = Deadline.after(mTime, mSettings.timings().drainLimit());
        if (context().find(Drain.class).isEmpty()) {
            awaitStart(deadline);
        }
        Duration elapsed = Duration.ofNanos(mTime.nanoTime() - signalNanos);
        boolean isDrained =
                context()
                        .find(Drain.class)
                        .map(drain -> drain.drain(deadline, elapsed))
                        .orElse(true);
        if (awaitStart(deadline)) {
            kill();
        }
        return isDrained;
    }

    /** Returns whether the instance has started before the deadline. */
    private boolean awaitStart(Deadline deadline) {
        try {
            mStarted.get(deadline.remaining(mTime).toNanos(), TimeUnit.NANOSECONDS);
            return true;
        } catch (ExecutionException | TimeoutException e) {
            LOGGER.warnf("the instance stops before it has started: %s", e);
            return false;
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    /** Stops without draining, as after a crash, but releases ports and threads. */
    public void kill() {
        mKernel.stop(Deadline.after(mTime, PLUGIN_STOP_TIMEOUT));
        mPulseTask.close();
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

        /** Returns the instance, which has not started. */
        public Instance build() {
            PluginContext context = new PluginContext(new EventStreams(), mTime);
            context.provide(InstanceSettings.class, mSettings);
            context.provide(
                    InstanceId.class, new InstanceId(mSettings.instanceName(), mTime.wallMillis()));
            mPolicy.ifPresent(policy -> context.provide(PolicyChoice.class, policy));
            mServiceProviders.forEach(each -> each.accept(context));
            return new Instance(new Kernel(context), mSettings, mEdition, mTime);
        }

        /**
         * Starts every registered plug-in of the edition. If a plug-in fails to start, those that
         * have started are stopped.
         */
        public Instance start() {
            Instance instance = build();
            instance.start();
            return instance;
        }
    }
}
