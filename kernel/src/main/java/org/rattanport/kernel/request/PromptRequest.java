package org.rattanport.kernel.request;

import java.time.Duration;
import java.util.Optional;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.time.Deadline;

/**
 * A validated prompt request of a caller.
 *
 * @param id id that is the same in all attempts
 * @param account client account that the request is charged to
 * @param model name of the model
 * @param prompt the whole text that the engine prefills
 * @param promptTokens length of the prompt in tokens, estimated from the length of its text
 * @param maximumOutputTokens maximum length of the answer in tokens
 * @param priority priority from the account and the request; higher values are served first
 * @param timeLimit time limit of the caller
 * @param deadline end of the time limit
 * @param fingerprint fingerprint of account, model and prompt
 * @param resume point from which an interrupted answer resumes
 */
public record PromptRequest(
        RequestId id,
        AccountId account,
        String model,
        String prompt,
        int promptTokens,
        int maximumOutputTokens,
        int priority,
        Duration timeLimit,
        Deadline deadline,
        Fingerprint fingerprint,
        Optional<ResumePoint> resume) {
    public long totalTokens() {
        return (long) promptTokens + maximumOutputTokens;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Builds a request; {@code fingerprint} is derived from account, model and prompt. */
    public static final class Builder {
        private static final int CHARACTERS_PER_TOKEN = 4;

        private RequestId mId = RequestId.random();
        private AccountId mAccount = new AccountId("");
        private String mModel = "";
        private String mPrompt = "";
        private int mPromptTokens = -1;
        private int mMaximumOutputTokens = 256;
        private int mPriority;
        private Duration mTimeLimit = Duration.ofMinutes(1);
        private Deadline mDeadline = new Deadline(0);
        private Optional<ResumePoint> mResume = Optional.empty();

        public Builder id(RequestId id) {
            mId = id;
            return this;
        }

        public Builder account(AccountId account) {
            mAccount = account;
            return this;
        }

        public Builder model(String model) {
            mModel = model;
            return this;
        }

        public Builder prompt(String prompt) {
            mPrompt = prompt;
            return this;
        }

        /** Overrides the estimate of the prompt's length. */
        public Builder promptTokens(int promptTokens) {
            mPromptTokens = promptTokens;
            return this;
        }

        public Builder maximumOutputTokens(int maximumOutputTokens) {
            mMaximumOutputTokens = maximumOutputTokens;
            return this;
        }

        public Builder priority(int priority) {
            mPriority = priority;
            return this;
        }

        public Builder timeLimit(Duration timeLimit, Deadline deadline) {
            mTimeLimit = timeLimit;
            mDeadline = deadline;
            return this;
        }

        public Builder resume(Optional<ResumePoint> resume) {
            mResume = resume;
            return this;
        }

        /** Returns the request; the length of the prompt is estimated unless it was set. */
        public PromptRequest build() {
            int tokens = mPromptTokens >= 0 ? mPromptTokens : estimateTokens(mPrompt);
            return new PromptRequest(
                    mId,
                    mAccount,
                    mModel,
                    mPrompt,
                    tokens,
                    mMaximumOutputTokens,
                    mPriority,
                    mTimeLimit,
                    mDeadline,
                    Fingerprint.of(mAccount.value(), mModel, mPrompt),
                    mResume);
        }

        private static int estimateTokens(String prompt) {
            return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
        }
    }
}
