package org.rattanport.benchmark.measure;

import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.rattanport.benchmark.measure.LoadGenerator.PromptResult;

/** Figures of one run. */
public final class RunStatistics {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double HORIZON_FACTOR = 1.5;

    /** A caller notices the end of its time a little late: one machine serves all parts. */
    private static final double LATE_TOLERANCE_SECONDS = 2.0;

    private final List<PromptResult> mResults;
    private final double mRunSeconds;

    public RunStatistics(List<PromptResult> served, double seconds) {
        mResults = served;
        mRunSeconds = seconds;
    }

    /** Percentile of the time to first token of a class, in engine seconds. */
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

    /** Prompt tokens of answered prompts of a class in a second. */
    public double tokensPerSecond(String lengthClass) {
        return throughput(each -> each.arrival().lengthClass().name().equals(lengthClass));
    }

    /** Prompt tokens of all answered prompts in a second. */
    public double goodput() {
        return throughput(each -> true);
    }

    /**
     * Counts what was answered up to a fixed time, half as long again as the run. Until the last
     * answer would let one prompt that came last decide the figure.
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

    /** Prompts that were admitted and then failed, for whatever reason. */
    public long failedAfterAdmission() {
        return mResults.stream().filter(each -> !each.isAnswered() && !each.isRefused()).count();
    }

    /** Prompts that ended after their time, answered or not. */
    public long endedLate() {
        return mResults.stream()
                .filter(
                        each ->
                                each.totalSeconds()
                                        > each.arrival().lengthClass().timeLimitSeconds()
                                                + LATE_TOLERANCE_SECONDS)
                .count();
    }

    /** Jain's index over the accounts' share of sent tokens that was answered; 1 is fair. */
    public double fairnessIndex() {
        int accounts =
                mResults.stream().mapToInt(each -> each.arrival().account()).max().orElse(0) + 1;
        double sum = 0;
        double squares = 0;
        int counted = 0;
        for (int account = 0; account < accounts; account++) {
            double sent = tokens(account, each -> true);
            if (sent > 0) {
                double share = tokens(account, PromptResult::isAnswered) / sent;
                sum += share;
                squares += share * share;
                counted++;
            }
        }
        return squares == 0 ? 0 : sum * sum / (counted * squares);
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
