package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PlacementPostponed;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.ResponseTiming;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.time.TimeSource;

/** Collects the events of one request and publishes its outcome for logs and metrics. */
final class RequestTrace {
    /** Properties of the request that do not change. */
    record RequestInfo(
            String attemptId,
            Route route,
            String service,
            String account,
            List<String> sharedParts,
            long documentVersion) {}

    private final RequestInfo mInfo;
    private final EventStreams mEvents;
    private final TimeSource mTime;
    private final long mStartNanos;
    private final List<String> mBackEndIds = new ArrayList<>();
    private long mRegistryVersion = StorePosition.UNREAD.version();
    private int mStatus;
    private int mPrefillEngineCount;
    private double mPredictedFirstEventMillis;
    private long mFirstEventNanos;
    private long mLastEventNanos;
    private long mMaxGapNanos;

    RequestTrace(RequestInfo info, EventStreams events, TimeSource time) {
        mInfo = info;
        mEvents = events;
        mTime = time;
        mStartNanos = time.nanoTime();
    }

    /** Records that an attempt is written, with the version of the registry that allows it. */
    void attemptSent(Placement placement, long registryVersion) {
        mRegistryVersion = registryVersion;
        mBackEndIds.add(placement.backEnd().id());
        mPrefillEngineCount = placement.prefillEngines().size();
        mPredictedFirstEventMillis =
                placement.work().map(EngineWork::predictedFirstEventMillis).orElse(0.0);
        mStatus = 0;
    }

    /** Records that the placement waits for room at the engines. */
    void placementPostponed(Placement placement) {
        mEvents.publish(
                new PlacementPostponed(
                        mInfo.attemptId(),
                        Math.round(
                                placement
                                        .work()
                                        .map(EngineWork::predictedFirstEventMillis)
                                        .orElse(0.0)),
                        placement.postponement().orElse(Duration.ZERO).toMillis()));
    }

    void responseReceived(int status) {
        mStatus = status;
    }

    /** Records that a part of the response was sent to the caller. */
    void partForwarded() {
        long now = mTime.nanoTime();
        if (mFirstEventNanos == 0) {
            mFirstEventNanos = now - mStartNanos;
        } else {
            mMaxGapNanos = Math.max(mMaxGapNanos, now - mLastEventNanos);
        }
        mLastEventNanos = now;
    }

    private ResponseTiming timing() {
        Route route = mInfo.route();
        boolean isLate =
                mFirstEventNanos > route.latencyObjective().toNanos()
                        || (route.kind() == RouteKind.STREAMING
                                && mMaxGapNanos > route.maxEventGap().toNanos());
        return new ResponseTiming(
                Math.round(mPredictedFirstEventMillis),
                TimeUnit.NANOSECONDS.toMillis(mFirstEventNanos),
                TimeUnit.NANOSECONDS.toMillis(mMaxGapNanos),
                isLate);
    }

    void attemptFailed(
            BackEnd backEnd, String code, Verdict verdict, boolean hasStarted, String reason) {
        mEvents.publish(
                new AttemptFailure(
                        mInfo.attemptId(),
                        backEnd.id(),
                        code,
                        verdict,
                        hasStarted,
                        mInfo.sharedParts(),
                        reason));
    }

    void ended(String outcome, Verdict verdict, int runs, String reason) {
        mEvents.publish(
                new RequestOutcome(
                        mInfo.attemptId(),
                        outcome,
                        verdict,
                        mInfo.route().name(),
                        mInfo.service(),
                        mInfo.account(),
                        List.copyOf(mBackEndIds),
                        runs,
                        mStatus,
                        Duration.ofNanos(mTime.nanoTime() - mStartNanos).toMillis(),
                        mPrefillEngineCount,
                        mInfo.sharedParts(),
                        timing(),
                        mInfo.documentVersion(),
                        mRegistryVersion,
                        reason));
    }
}
