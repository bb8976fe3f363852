package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.RequestContent;
import org.rattanport.kernel.model.Fingerprint;

/** Errors with which a forwarded request, or one of its attempts, ends. */
final class ForwardingErrors {
    /** Delay after which a refused caller may retry; short requests end within it. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    /** Largest addition to the time until back ends take requests, as a fraction of it. */
    private static final double WAIT_SPREAD = 0.25;

    /** Delay after which a caller may retry while all back ends are in evacuated data centres. */
    private static final Duration EVACUATION_RETRY_AFTER = Duration.ofSeconds(1);

    private ForwardingErrors() {}

    static RattanportException poisonRequest(
            CallerRequest request, RequestContent content, Fingerprint blocked) {
        int part = content.sharedParts().indexOf(blocked);
        String name =
                part < 0
                        ? "this request"
                        : "prompts with the part " + request.sharedParts().get(part);
        return new RattanportException(
                ErrorCode.POISON_REQUEST, "engines crashed while running " + name);
    }

    static RattanportException deadlineExceeded() {
        return new RattanportException(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline of the request has passed, or too little time is left for a"
                        + " response");
    }

    static RattanportException allRefused() {
        return RattanportException.builder(
                        ErrorCode.TARGET_REFUSED, "every back end refused the request")
                .retryAfter(RETRY_AFTER)
                .build();
    }

    /** Callers return at different times after the wait, so that they do not come as a herd. */
    private static RattanportException refused(String reason, Duration wait) {
        double spread = 1 + WAIT_SPREAD * ThreadLocalRandom.current().nextDouble();
        return RattanportException.builder(ErrorCode.TARGET_REFUSED, reason)
                .retryAfter(Duration.ofMillis(Math.round(wait.toMillis() * spread)))
                .build();
    }

    /** The end of an evacuation is not known, so callers return within one to two seconds. */
    static RattanportException allEvacuated() {
        double spread = 1 + ThreadLocalRandom.current().nextDouble();
        return RattanportException.builder(
                        ErrorCode.NO_TARGET,
                        "every back end that could take requests is in an evacuated data centre")
                .retryAfter(
                        Duration.ofMillis(Math.round(EVACUATION_RETRY_AFTER.toMillis() * spread)))
                .build();
    }

    static RattanportException noneAllowed() {
        return new RattanportException(
                ErrorCode.NO_TARGET,
                "no back end is in a region that the route and the account allow");
    }

    static RattanportException isNotAllowed(BackEnd backEnd) {
        return new RattanportException(
                ErrorCode.TARGET_REFUSED,
                "back end "
                        + backEnd.id()
                        + " in data centre "
                        + backEnd.dataCentre()
                        + " is in no region that the route and the account allow");
    }

    static RattanportException isEvacuated(BackEnd backEnd) {
        return new RattanportException(
                ErrorCode.TARGET_REFUSED,
                "data centre "
                        + backEnd.dataCentre()
                        + " of back end "
                        + backEnd.id()
                        + " was evacuated since it was chosen");
    }

    static RattanportException noneAccepts(Duration wait) {
        return refused("every back end asked for a pause or has reached its rate limit", wait);
    }

    /**
     * A refusal of a request that engines cannot begin before its deadline.
     *
     * @param excess time by which the predicted first event exceeds the deadline
     */
    static RattanportException cannotBeServedInTime(Duration excess) {
        return refused("the engines have more work than they can do before the deadline", excess);
    }

    static RattanportException wantsNoRequests() {
        return new RattanportException(
                ErrorCode.TARGET_REFUSED, "the back end wants no requests now");
    }

    static RattanportException hasLeft(BackEnd backEnd) {
        return new RattanportException(
                ErrorCode.TARGET_REFUSED,
                "back end " + backEnd.id() + " has left or begun to leave since it was chosen");
    }

    static RattanportException heldBack(BackEnd backEnd) {
        return new RattanportException(
                ErrorCode.TARGET_REFUSED,
                "the rate limit of back end " + backEnd.id() + " leaves no token for the request");
    }

    static RattanportException failedRun(String reason) {
        return RattanportException.builder(ErrorCode.TARGET_FAILED, reason)
                .verdict(Verdict.RAN)
                .build();
    }

    static RattanportException cannotBeContinued(RattanportException cause) {
        return new RattanportException(
                cause.code(),
                "no other back end can continue the response that broke off: "
                        + cause.getMessage());
    }

    static RattanportException stopping(Verdict verdict) {
        return RattanportException.builder(ErrorCode.STOPPING, "this instance is stopping")
                .verdict(verdict)
                .build();
    }

    static RattanportException callerDisconnected() {
        return new RattanportException(ErrorCode.CANCELLED, "the caller disconnected");
    }
}
