package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.AnswerTiming;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.time.TimeSource;

/** Collects what happens to one request, and tells those who log and count it. */
final class RequestTrace {
    /** What does not change while the request is on its way. */
    record Subject(String request, Route route, String service, String account, long document) {}

    private final Subject mSubject;
    private final EventStreams mEvents;
    private final TimeSource mTime;
    private final long mStartNanos;
    private final List<String> mBackEnds = new ArrayList<>();
    private int mStatus;
    private int mReaders;
    private double mPredicted;
    private long mFirstNanos;
    private long mLastNanos;
    private long mLongestPauseNanos;

    RequestTrace(Subject subject, EventStreams events, TimeSource time) {
        mSubject = subject;
        mEvents = events;
        mTime = time;
        mStartNanos = time.nanoTime();
    }

    void sent(Placement placement) {
        mBackEnds.add(placement.backEnd().id());
        mReaders = placement.readers().size();
        mPredicted = placement.work().map(Work::firstEventMillis).orElse(0.0);
        mStatus = 0;
    }

    void answered(int status) {
        mStatus = status;
    }

    /** Records that a part of the answer went to the caller. */
    void passedOn() {
        long now = mTime.nanoTime();
        if (mFirstNanos == 0) {
            mFirstNanos = now - mStartNanos;
        } else {
            mLongestPauseNanos = Math.max(mLongestPauseNanos, now - mLastNanos);
        }
        mLastNanos = now;
    }

    private AnswerTiming timing() {
        Route route = mSubject.route();
        boolean isLate =
                mFirstNanos > route.objective().toNanos()
                        || (route.kind() == RouteKind.STREAMING
                                && mLongestPauseNanos > route.longestPause().toNanos());
        return new AnswerTiming(
                Math.round(mPredicted),
                TimeUnit.NANOSECONDS.toMillis(mFirstNanos),
                TimeUnit.NANOSECONDS.toMillis(mLongestPauseNanos),
                isLate);
    }

    void failed(BackEnd backEnd, String code, Verdict verdict, boolean hasStarted, String reason) {
        mEvents.publish(
                new AttemptFailure(
                        mSubject.request(), backEnd.id(), code, verdict, hasStarted, reason));
    }

    void ended(String outcome, Verdict verdict, int runs, String reason) {
        mEvents.publish(
                new RequestOutcome(
                        mSubject.request(),
                        outcome,
                        verdict,
                        mSubject.route().name(),
                        mSubject.service(),
                        mSubject.account(),
                        List.copyOf(mBackEnds),
                        runs,
                        mStatus,
                        Duration.ofNanos(mTime.nanoTime() - mStartNanos).toMillis(),
                        mReaders,
                        timing(),
                        mSubject.document(),
                        reason));
    }
}
