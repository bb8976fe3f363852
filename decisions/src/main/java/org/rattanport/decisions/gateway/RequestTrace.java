package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.time.TimeSource;

/** Collects what happens to one request, and tells those who log and count it. */
final class RequestTrace {
    /** What does not change while the request is on its way. */
    record Subject(String request, String route, String service, String account, long document) {}

    private final Subject mSubject;
    private final EventStreams mEvents;
    private final TimeSource mTime;
    private final long mStartNanos;
    private final List<String> mBackEnds = new ArrayList<>();
    private int mStatus;
    private double mPredicted;

    RequestTrace(Subject subject, EventStreams events, TimeSource time) {
        mSubject = subject;
        mEvents = events;
        mTime = time;
        mStartNanos = time.nanoTime();
    }

    void sent(Placement placement) {
        mBackEnds.add(placement.backEnd().id());
        mPredicted = placement.work().map(Work::firstEventMillis).orElse(0.0);
        mStatus = 0;
    }

    void answered(int status) {
        mStatus = status;
    }

    /** Status of the back end that was asked last, or 0 while it has not answered. */
    int status() {
        return mStatus;
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
                        mSubject.route(),
                        mSubject.service(),
                        mSubject.account(),
                        List.copyOf(mBackEnds),
                        runs,
                        mStatus,
                        Duration.ofNanos(mTime.nanoTime() - mStartNanos).toMillis(),
                        Math.round(mPredicted),
                        mSubject.document(),
                        reason));
    }
}
