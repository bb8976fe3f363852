package org.rattanport.decisions.environment;

import io.reactivex.rxjava3.core.Flowable;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.DocumentParser;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;

/** Holds the active document of each stage; an older version never replaces a newer one. */
public final class EnvironmentHolder implements ActiveEnvironments {
    private static final Logger LOGGER = Logger.getLogger(EnvironmentHolder.class);

    private final String mEnvironment;
    private final DocumentParser mParser;
    private final EventStreams mEvents;
    private final Map<Stage, ActiveEnvironment> mActive = new EnumMap<>(Stage.class);

    public EnvironmentHolder(String environment, DocumentParser parser, EventStreams events) {
        mEnvironment = environment;
        mParser = parser;
        mEvents = events;
    }

    @Override
    public synchronized Optional<ActiveEnvironment> current(Stage stage) {
        return Optional.ofNullable(mActive.get(stage));
    }

    @Override
    public boolean activateIfNewer(DocumentVersion version) {
        if (!version.environment().equals(mEnvironment)
                || version.version() <= activeVersion(version.stage())) {
            return false;
        }
        ActiveEnvironment active;
        try {
            active = new ActiveEnvironment(version, mParser.parse(version.text()));
        } catch (RattanportException e) {
            // The document store accepts only valid documents, so a newer release wrote this one.
            LOGGER.errorf(
                    "cannot parse version %d of the %s document: %s",
                    version.version(), version.stage().wireName(), e.getMessage());
            return false;
        }
        return activate(active);
    }

    private boolean activate(ActiveEnvironment active) {
        Stage stage = active.version().stage();
        synchronized (this) {
            if (active.version().version() <= activeVersion(stage)) {
                return false;
            }
            mActive.put(stage, active);
        }
        LOGGER.infof(
                "version %d of the %s document is active",
                active.version().version(), stage.wireName());
        mEvents.publish(active);
        return true;
    }

    @Override
    public Flowable<ActiveEnvironment> changes() {
        return mEvents.stream(ActiveEnvironment.class);
    }
}
