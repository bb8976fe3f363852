package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Status and headers of a back end's response.
 *
 * @param status HTTP status
 * @param headers headers that are forwarded to the caller
 * @param attemptId attempt id that the back end returned, if any
 * @param isSigned whether the response carries the back end's signature
 * @param isNotRun whether the back end guarantees that it did not run the request
 * @param isMisdirected whether the response came from a back end other than the addressed one
 * @param isCloseDelimited whether the body is close-delimited: it has no length, and an orderly end
 *     of the back end's connection ends it. The caller gets it with a length or in chunks
 * @param faultyEngineAddress address of the faulty engine, if the response names one
 * @param load load of the back end, if the response reports it
 * @param isLeaving whether the back end says that it stops soon
 * @param pause time for which a back end that refuses the request wants no other one, if it says so
 * @param rateLimit requests a second that the back end takes from all instances, if it names a
 *     limit
 */
public record ResponseHead(
        int status,
        List<Header> headers,
        Optional<String> attemptId,
        boolean isSigned,
        boolean isNotRun,
        boolean isMisdirected,
        boolean isCloseDelimited,
        Optional<String> faultyEngineAddress,
        Optional<BackEndLoad> load,
        boolean isLeaving,
        Optional<Duration> pause,
        Optional<RateLimit> rateLimit) {
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(408, 421, 429, 503);

    /** Prepares a head that says nothing but its status. */
    public static Builder builder(int status) {
        return new Builder(status);
    }

    /** Whether callers conclude from this status that the request has not run. */
    public static boolean impliesNotRun(int status) {
        return REFUSAL_STATUSES.contains(status);
    }

    /** Whether the status is a 2xx status. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Builder of a response head. */
    public static final class Builder {
        private final int mStatus;
        private List<Header> mHeaders = List.of();
        private Optional<String> mAttemptId = Optional.empty();
        private boolean mIsSigned;
        private boolean mIsNotRun;
        private boolean mIsMisdirected;
        private boolean mIsCloseDelimited;
        private Optional<String> mFaultyEngineAddress = Optional.empty();
        private Optional<BackEndLoad> mLoad = Optional.empty();
        private boolean mIsLeaving;
        private Optional<Duration> mPause = Optional.empty();
        private Optional<RateLimit> mRateLimit = Optional.empty();

        private Builder(int status) {
            mStatus = status;
        }

        public Builder headers(List<Header> headers) {
            mHeaders = headers;
            return this;
        }

        public Builder attemptId(Optional<String> attemptId) {
            mAttemptId = attemptId;
            return this;
        }

        public Builder signed(boolean isSigned) {
            mIsSigned = isSigned;
            return this;
        }

        public Builder notRun(boolean isNotRun) {
            mIsNotRun = isNotRun;
            return this;
        }

        public Builder misdirected(boolean isMisdirected) {
            mIsMisdirected = isMisdirected;
            return this;
        }

        public Builder closeDelimited(boolean isCloseDelimited) {
            mIsCloseDelimited = isCloseDelimited;
            return this;
        }

        public Builder faultyEngineAddress(Optional<String> address) {
            mFaultyEngineAddress = address;
            return this;
        }

        public Builder load(Optional<BackEndLoad> load) {
            mLoad = load;
            return this;
        }

        public Builder leaving(boolean isLeaving) {
            mIsLeaving = isLeaving;
            return this;
        }

        public Builder pause(Optional<Duration> pause) {
            mPause = pause;
            return this;
        }

        public Builder rateLimit(Optional<RateLimit> rateLimit) {
            mRateLimit = rateLimit;
            return this;
        }

        /** Returns the head. */
        public ResponseHead build() {
            return new ResponseHead(
                    mStatus,
                    mHeaders,
                    mAttemptId,
                    mIsSigned,
                    mIsNotRun,
                    mIsMisdirected,
                    mIsCloseDelimited,
                    mFaultyEngineAddress,
                    mLoad,
                    mIsLeaving,
                    mPause,
                    mRateLimit);
        }
    }
}
