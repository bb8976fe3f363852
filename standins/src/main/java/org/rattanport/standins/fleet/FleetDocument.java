package org.rattanport.standins.fleet;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.rattanport.connectors.caller.KeyHash;

/** Environment document for a fleet of stand-ins. */
public final class FleetDocument {
    public static final String ENVIRONMENT = "trial-fleet";
    public static final String MODEL = "assistant";
    public static final String SERVICE = "dispatch";

    private final int mAccountCount;
    private final String mLengthClassesJson;
    private final long mTokensPerSecond;
    private final int mMaxTimeLimitSeconds;
    private final String mModelVersion;

    private FleetDocument(
            int accountCount,
            String lengthClassesJson,
            long tokensPerSecond,
            int maxTimeLimitSeconds,
            String modelVersion) {
        mAccountCount = accountCount;
        mLengthClassesJson = lengthClassesJson;
        mTokensPerSecond = tokensPerSecond;
        mMaxTimeLimitSeconds = maxTimeLimitSeconds;
        mModelVersion = modelVersion;
    }

    /** Returns a document with the given number of accounts and high limits. */
    public static FleetDocument withAccounts(int accounts) {
        return new FleetDocument(accounts, lengthClassesJson(60, 20, 20, 60), 100_000_000, 600, "");
    }

    /** Sets the engine shares of the length classes in percent and their common time limit. */
    public FleetDocument withEngineShares(
            int shortShare, int middleShare, int longShare, int seconds) {
        return new FleetDocument(
                mAccountCount,
                lengthClassesJson(shortShare, middleShare, longShare, seconds),
                mTokensPerSecond,
                mMaxTimeLimitSeconds,
                mModelVersion);
    }

    /** Sets the token rate limit of every account. */
    public FleetDocument withTokensPerSecond(long tokensPerSecond) {
        return new FleetDocument(
                mAccountCount,
                mLengthClassesJson,
                tokensPerSecond,
                mMaxTimeLimitSeconds,
                mModelVersion);
    }

    /** Sets the maximum time limit of requests; tests also use it to tell documents apart. */
    public FleetDocument withMaxTimeLimitSeconds(int seconds) {
        return new FleetDocument(
                mAccountCount, mLengthClassesJson, mTokensPerSecond, seconds, mModelVersion);
    }

    /** Sets the model version that engines load. */
    public FleetDocument withModelVersion(String version) {
        return new FleetDocument(
                mAccountCount, mLengthClassesJson, mTokensPerSecond, mMaxTimeLimitSeconds, version);
    }

    /** Returns the key of the account at the index. */
    public static String accountKey(int account) {
        return "key-of-account-" + account;
    }

    private static String lengthClassesJson(
            int shortShare, int middleShare, int longShare, int seconds) {
        return String.join(
                ",\n    ",
                List.of(
                        lengthClassJson("short", 8_000, shortShare, seconds),
                        lengthClassJson("middle", 64_000, middleShare, seconds),
                        lengthClassJson("long", 1_200_000, longShare, seconds)));
    }

    private static String lengthClassJson(String name, int tokens, int share, int seconds) {
        return String.format(
                "{\"name\": \"%s\", \"maximum_prompt_tokens\": %d, \"engine_share_percent\": %d,"
                        + " \"time_limit_seconds\": %d}",
                name, tokens, share, seconds);
    }

    /** Returns the document in the form in which operators write it. */
    public String json() {
        String accounts =
                IntStream.range(0, mAccountCount)
                        .mapToObj(this::accountJson)
                        .collect(Collectors.joining(",\n    "));
        return String.format(
                """
                {
                  "name": "%s",
                  "models": [
                    {"name": "%s", %s"maximum_prompt_tokens": 1200000}
                  ],
                  "length_classes": [
                    %s
                  ],
                  "services": [
                    {"name": "%s", "operations": [
                      // A duplicate booking dispatches two crews.
                      {"name": "book", "is_idempotent": false, "time_limit_seconds": 10,
                       "not_run_statuses": [503]},
                      {"name": "status", "is_idempotent": true, "time_limit_seconds": 10,
                       "not_run_statuses": [503]}
                    ]}
                  ],
                  "accounts": [
                    %s
                  ],
                  "limits": {"maximum_time_limit_seconds": %d, "maximum_output_tokens": 40000,
                             "queued_tokens": 50000000, "ageing_seconds": 2}
                }
                """,
                ENVIRONMENT,
                MODEL,
                mModelVersion.isEmpty() ? "" : "\"version\": \"" + mModelVersion + "\", ",
                mLengthClassesJson,
                SERVICE,
                accounts,
                mMaxTimeLimitSeconds);
    }

    private String accountJson(int index) {
        return String.format(
                "{\"name\": \"account-%d\", \"key_hashes\": [\"%s\"], \"priority\": %d,"
                        + " \"weight\": 1, \"tokens_per_second\": %d, \"burst_tokens\": %d}",
                index,
                KeyHash.of(accountKey(index)),
                0,
                mTokensPerSecond,
                Math.max(1, mTokensPerSecond));
    }
}
