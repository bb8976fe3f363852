package org.rattanport.kernel.error;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The unchecked exception of Rattanport, with a stable code and the verdict on whether the request
 * may have run.
 */
public final class RattanportException extends RuntimeException {
    private final ErrorCode mCode;
    private final Verdict mVerdict;
    private final @Nullable String mField;
    private final @Nullable Duration mRetryAfter;

    public RattanportException(ErrorCode code, String message) {
        this(builder(code, message));
    }

    private RattanportException(Builder builder) {
        super(builder.mMessage, builder.mCause);
        mCode = builder.mCode;
        mVerdict = builder.mVerdict;
        mField = builder.mField;
        mRetryAfter = builder.mRetryAfter;
    }

    public static Builder builder(ErrorCode code, String message) {
        return new Builder(code, message);
    }

    /**
     * Returns the error of a task that was interrupted while it waited, and restores the interrupt
     * flag of the thread.
     */
    public static RattanportException interrupted() {
        Thread.currentThread().interrupt();
        return new RattanportException(ErrorCode.CANCELLED, "the task was interrupted");
    }

    public ErrorCode code() {
        return mCode;
    }

    public Verdict verdict() {
        return mVerdict;
    }

    /** Returns the field of the request or file that the error refers to. */
    public Optional<String> field() {
        return Optional.ofNullable(mField);
    }

    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(mRetryAfter);
    }

    /**
     * Returns this error with another verdict, for example one that also covers an earlier attempt.
     */
    public RattanportException withVerdict(Verdict verdict) {
        Builder builder = new Builder(mCode, String.valueOf(getMessage())).verdict(verdict);
        builder.mField = mField;
        builder.mRetryAfter = mRetryAfter;
        builder.mCause = this;
        return builder.build();
    }

    /** Builds an exception; the verdict is {@code NOT_RUN} unless set. */
    public static final class Builder {
        private final ErrorCode mCode;
        private final String mMessage;
        private Verdict mVerdict = Verdict.NOT_RUN;
        private @Nullable String mField;
        private @Nullable Duration mRetryAfter;
        private @Nullable Throwable mCause;

        private Builder(ErrorCode code, String message) {
            mCode = code;
            mMessage = message;
        }

        public Builder verdict(Verdict verdict) {
            mVerdict = verdict;
            return this;
        }

        public Builder field(String field) {
            mField = field;
            return this;
        }

        public Builder retryAfter(Duration retryAfter) {
            mRetryAfter = retryAfter;
            return this;
        }

        public Builder cause(Throwable cause) {
            mCause = cause;
            return this;
        }

        public RattanportException build() {
            return new RattanportException(this);
        }
    }
}
