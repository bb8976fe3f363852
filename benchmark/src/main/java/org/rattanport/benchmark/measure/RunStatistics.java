package org.rattanport.benchmark.measure;

import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.rattanport.benchmark.measure.LoadGenerator.PromptResult;

/** Statistics of the prompts of one run. */
public final class RunStatistics {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double HORIZON_FACTOR = 1.5;

    /** Callers may see a timeout late, since all parts of the run share one machine. */
    private static final double LATE_TOLERANCE_SECONDS = 2.0;

    private final List<PromptResult> mResults;
    private final double mRunSeconds;

    public RunStatistics(List<PromptResult> results, double runSeconds) {
        mResults = results;
        mRunSeconds = runSeconds;
    }

    /** Percentile of a class's time to first token in engine seconds. */
    public double firstTokenSeconds(String lengthClass, double percentile) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        mResults.stream()
                .filter(each -> each.arrival().lengthClass().name().equals(lengthClass))
                .filter(each -> each.firstTokenSeconds() > 0)
                .forEach(
                        each ->
                                histogram.recordValue(
                                        (long) (each.firstTokenSeconds() * MICROS_PER_SECOND)));
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
    }

    public long sent(String lengthClass) {
        return count(lengthClass, each -> true);
    }

    public long answered(String lengthClass) {
        return count(lengthClass, PromptResult::isAnswered);
    }

    /** Answered prompt tokens of a class per second. */
    public double tokensPerSecond(String lengthClass) {
        return throughput(each -> each.arrival().lengthClass().name().equals(lengthClass));
    }

    /** Answered prompt tokens of all classes per second. */
    public double goodput() {
        return throughput(each -> true);
    }

    /**
     * Counts the answers up to a fixed horizon of 1.5 times the run. If the period lasted until the
     * last answer, a single late prompt would determine the result.
     */
    private double throughput(Predicate<PromptResult> filter) {
        double horizon = mRunSeconds * HORIZON_FACTOR;
        long tokens =
                mResults.stream()
                        .filter(filter)
                        .filter(PromptResult::isAnswered)
                        .filter(each -> each.arrival().atSeconds() + each.totalSeconds() <= horizon)
                        .mapToLong(each -> each.arrival().promptTokens())
                        .sum();
        return tokens / horizon;
    }

    public double refusedShare() {
        return (double) mResults.stream().filter(PromptResult::isRefused).count()
                / Math.max(1, mResults.size());
    }

    /** Number of prompts that were admitted and then failed for any reason. */
    public long failedAfterAdmission() {
        return mResults.stream().filter(each -> !each.isAnswered() && !each.isRefused()).count();
    }

    /** Number of prompts, answered or not, that ended after their time limit. */
    public long endedLate() {
        return mResults.stream()
                .filter(
                        each ->
                                each.totalSeconds()
                                        > each.arrival().lengthClass().timeLimitSeconds()
                                                + LATE_TOLERANCE_SECONDS)
                .count();
    }

    /** Jain's fairness index over each account's answered share of its tokens; 1 is fair. */
    public double fairnessIndex() {
        int accounts =
                mResults.stream().mapToInt(each -> each.arrival().account()).max().orElse(0) + 1;
        double sum = 0;
        double sumOfSquares = 0;
        int activeAccounts = 0;
        for (int account = 0; account < accounts; account++) {
            double sentTokens = tokens(account, each -> true);
            if (sentTokens > 0) {
                double share = tokens(account, PromptResult::isAnswered) / sentTokens;
                sum += share;
                sumOfSquares += share * share;
                activeAccounts++;
            }
        }
        return sumOfSquares == 0 ? 0 : sum * sum / (activeAccounts * sumOfSquares);
    }

    private double tokens(int account, Predicate<PromptResult> filter) {
        return mResults.stream()
                .filter(each -> each.arrival().account() == account)
                .filter(filter)
                .mapToLong(each -> each.arrival().promptTokens())
                .sum();
    }

    private long count(String lengthClass, Predicate<PromptResult> filter) {
        return mResults.stream()
                .filter(each -> each.arrival().lengthClass().name().equals(lengthClass))
                .filter(filter)
                .count();
    }
}
