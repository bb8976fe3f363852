package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.discovery.RequestGate;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndNotice;
import org.rattanport.kernel.gateway.BackEndNotice.Kind;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.time.TimeSource;

/**
 * What back ends have said about themselves in their responses to this instance: that they leave,
 * or that they want no requests for a time. A notice holds for one run of a back end, whatever the
 * registry says of that run; only a later run under the same id ends it early. That a back end
 * leaves is told to the other instances.
 */
public final class BackEndNotices implements RequestGate {
    private static final Logger LOGGER = Logger.getLogger(BackEndNotices.class);

    /** Time after which a back end that left is forgotten; it ends within minutes. */
    private static final Duration LEAVING_LIFETIME = Duration.ofHours(1);

    /** Time after which the request that ends a pause no longer keeps others away. */
    private static final Duration TRIAL_TIMEOUT = Duration.ofSeconds(1);

    /**
     * What a back end said.
     *
     * @param untilNanos end of the pause, or of the memory of a back end that leaves
     * @param trialNanos when the first request after a pause was sent, if it is under way
     */
    private record Notice(
            BackEnd backEnd,
            Kind kind,
            long learnedNanos,
            long untilNanos,
            Optional<Long> trialNanos) {
        Notice withTrial(Optional<Long> sentNanos) {
            return new Notice(backEnd, kind, learnedNanos, untilNanos, sentNanos);
        }
    }

    private final TimeSource mTime;
    private final Consumer<BackEndNotice> mOnNotice;
    private final Consumer<Rumor> mRumors;
    private final Map<String, Notice> mNotices = new HashMap<>();

    public BackEndNotices(
            TimeSource time, Consumer<BackEndNotice> onNotice, Consumer<Rumor> rumors) {
        mTime = time;
        mOnNotice = onNotice;
        mRumors = rumors;
    }

    /** Creates notices that are shared with other instances through rumors. */
    public static BackEndNotices withRumors(
            TimeSource time, Consumer<BackEndNotice> onNotice, RumorHub hub) {
        BackEndNotices notices = new BackEndNotices(time, onNotice, hub::spreadPromptly);
        hub.addListener(notices::receive);
        return notices;
    }

    /** Records what a response of the back end says about it; no notice ends an earlier pause. */
    public synchronized void recordResponse(BackEnd backEnd, ResponseHead head) {
        if (head.isMisdirected()) {
            return;
        }
        if (head.isLeaving()) {
            boolean isNews = learn(backEnd, Kind.LEAVING, LEAVING_LIFETIME, "response");
            // A false rumor would take the back end from all instances.
            if (isNews && head.isSigned()) {
                tell(backEnd);
            }
        } else if (head.pause().isPresent()) {
            learn(backEnd, Kind.PAUSE, head.pause().get(), "response");
        } else {
            endPause(backEnd.id());
        }
    }

    /**
     * Learns from another instance that a back end leaves, whether it is registered here or not.
     */
    void receive(Rumor rumor) {
        if (rumor instanceof Rumor.TargetDraining draining) {
            receiveLeaving(draining.target());
        }
    }

    private synchronized void receiveLeaving(TargetId run) {
        BackEnd backEnd = new BackEnd(run.name(), run.incarnation(), "-", "-", "-", 0, true);
        if (learn(backEnd, Kind.LEAVING, LEAVING_LIFETIME, "peer")) {
            tell(backEnd);
        }
    }

    private void tell(BackEnd backEnd) {
        mRumors.accept(
                new Rumor.TargetDraining(new TargetId(backEnd.id(), backEnd.startWallMillis())));
    }

    /** Records the notice; returns whether it says something new. */
    private boolean learn(BackEnd backEnd, Kind kind, Duration duration, String source) {
        Notice known = mNotices.get(backEnd.id());
        if (known != null && isSuperseded(backEnd, known)) {
            return false;
        }
        long now = mTime.nanoTime();
        long until = now + duration.toNanos();
        boolean isShorterPause =
                known != null
                        && known.backEnd().isSameRun(backEnd)
                        && known.kind() == kind
                        && known.untilNanos() - until > 0;
        if (isShorterPause) {
            return false;
        }
        mNotices.put(backEnd.id(), new Notice(backEnd, kind, now, until, Optional.empty()));
        LOGGER.info(
                LogLine.of("back-end-notice")
                        .with("back_end", backEnd.id())
                        .with("service", backEnd.service())
                        .with("kind", kind.wireName())
                        .with("source", source)
                        .with("for_millis", duration.toMillis()));
        mOnNotice.accept(new BackEndNotice(backEnd.id(), kind));
        return true;
    }

    /** Whether the known notice is about a later run, or says that this run leaves. */
    private static boolean isSuperseded(BackEnd backEnd, Notice known) {
        return known.backEnd().startWallMillis() > backEnd.startWallMillis()
                || (known.kind() == Kind.LEAVING && known.backEnd().isSameRun(backEnd));
    }

    /** A back end that responds without a notice has ended its pause, once that has passed. */
    private void endPause(String id) {
        Notice notice = mNotices.get(id);
        if (notice != null && notice.kind() == Kind.PAUSE && hasPassed(notice)) {
            forget(notice, "the back end takes requests again");
        }
    }

    /** Records that a request failed without a response; another one may try after a pause. */
    public synchronized void recordFailure(String id) {
        mNotices.computeIfPresent(id, (key, notice) -> notice.withTrial(Optional.empty()));
    }

    /** Ends the notice of an earlier run when the registry shows a later one under the same id. */
    @Override
    public synchronized void recordRegistered(BackEnd backEnd) {
        Notice notice = mNotices.get(backEnd.id());
        if (notice != null && isEarlierRun(notice, backEnd)) {
            forget(notice, "a later run is registered");
        }
    }

    private static boolean isEarlierRun(Notice notice, BackEnd backEnd) {
        return notice.backEnd().startWallMillis() < backEnd.startWallMillis();
    }

    private void forget(Notice notice, String reason) {
        mNotices.remove(notice.backEnd().id());
        LOGGER.info(
                LogLine.of("back-end-notice-ends")
                        .with("back_end", notice.backEnd().id())
                        .with("kind", notice.kind().wireName())
                        .with(
                                "age_millis",
                                Duration.ofNanos(mTime.nanoTime() - notice.learnedNanos())
                                        .toMillis())
                        .with("reason", reason));
    }

    private boolean hasPassed(Notice notice) {
        return mTime.nanoTime() - notice.untilNanos() >= 0;
    }

    /** Whether the back end may get a request now. */
    @Override
    public String reason() {
        return "asked for a pause or leaves";
    }

    @Override
    public synchronized boolean accepts(BackEnd backEnd) {
        Notice notice = mNotices.get(backEnd.id());
        if (notice == null || isEarlierRun(notice, backEnd)) {
            return true;
        }
        if (!hasPassed(notice)) {
            return false;
        }
        if (notice.kind() == Kind.LEAVING) {
            forget(notice, "it is too old");
            return true;
        }
        long now = mTime.nanoTime();
        return notice.trialNanos().filter(sent -> now - sent < TRIAL_TIMEOUT.toNanos()).isEmpty();
    }

    /**
     * Whether a request may be sent to the back end at this moment. After a pause one request goes
     * first, and the others follow once it was answered.
     */
    public synchronized boolean tryUse(BackEnd backEnd) {
        if (!accepts(backEnd)) {
            return false;
        }
        mNotices.computeIfPresent(
                backEnd.id(), (key, notice) -> notice.withTrial(Optional.of(mTime.nanoTime())));
        return true;
    }

    /** The time until the back end ends its pause. */
    @Override
    public synchronized Optional<Duration> waitTime(BackEnd backEnd) {
        return Optional.ofNullable(mNotices.get(backEnd.id()))
                .filter(notice -> notice.kind() == Kind.PAUSE)
                .map(notice -> notice.untilNanos() - mTime.nanoTime())
                .map(nanos -> Duration.ofNanos(Math.max(0, nanos)));
    }
}
