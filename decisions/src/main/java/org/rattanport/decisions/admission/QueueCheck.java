package org.rattanport.decisions.admission;

import java.time.Duration;
import org.rattanport.decisions.ordering.Dispatcher;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Refuses a prompt that would exceed the limit of queued tokens of this instance. */
public final class QueueCheck implements AdmissionCheck {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Dispatcher mDispatcher;

    public QueueCheck(Dispatcher dispatcher) {
        mDispatcher = dispatcher;
    }

    @Override
    public void check(AdmissionRequest admission) {
        long queued = mDispatcher.queuedTokens();
        long allowed = admission.environment().document().limits().maximumQueuedTokens();
        // An empty queue accepts any prompt; otherwise a prompt above the limit would never run.
        if (queued > 0 && queued + admission.request().promptTokens() > allowed) {
            throw RattanportException.builder(
                            ErrorCode.QUEUE_FULL,
                            "the queue of this instance holds " + queued + " tokens")
                    .retryAfter(RETRY_AFTER)
                    .build();
        }
    }
}
