package org.rattanport.decisions.gateway.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.PromptSize;

/**
 * The definition of the best placement, which computes each cost anew in each comparison. Tests
 * compare {@link PromptPlacement} with it.
 */
final class ReferencePlacement {
    /** Maximum number of prefill engines besides the decode engine; engines accept no more. */
    private static final int MAX_EXTRA_PREFILL_ENGINES = 16;

    /** Size assumed for a prompt without a declared size. */
    private static final PromptSize DEFAULT_SIZE = new PromptSize(2_000, 500);

    /** Prompt length of weight one; the value of an answer grows with the work it requires. */
    private static final double REFERENCE_TOKENS = 5_000;

    private static final double WEIGHT_EXPONENT = 0.75;

    /** Multiple of the objective from which on a first event is late. */
    private static final double DEFERRAL_FACTOR = 1.25;

    /** Fraction of an engine's memory that placement uses; the rest covers unknown requests. */
    private static final double USABLE_MEMORY_FRACTION = 0.92;

    private record Candidate(BackEnd backEnd, EngineLoadEstimate load, double penalty) {}

    /** The prompt to place with values derived from it. */
    private record Prompt(
            PlacementQuery query,
            ForwardPassModel model,
            PromptSize size,
            double weight,
            boolean isDeferred) {
        Prompt deferred() {
            return new Prompt(query, model, size, weight, true);
        }

        double maxGapMillis() {
            return query.demand().maxEventGap().toMillis();
        }

        double partMillis(int parts) {
            return model.prefillMillis(size.promptTokens(), parts);
        }

        long neededTokens() {
            return (long) size.promptTokens() + size.maxOutputTokens();
        }
    }

    private record Plan(
            Candidate decodeEngine,
            List<Candidate> prefillEngines,
            double firstEventMillis,
            double cost,
            boolean lacksMemory) {}

    private final BackEndRegistry mRegistry;
    private final BackEndHealth mHealth;
    private final WorkTracker mTracker;
    private final PlacementTuning mTuning;
    private final Random mRandom;

    ReferencePlacement(
            BackEndRegistry registry,
            BackEndHealth health,
            WorkTracker tracker,
            PlacementTuning tuning,
            Random random) {
        mRegistry = registry;
        mHealth = health;
        mTracker = tracker;
        mTuning = tuning;
        mRandom = random;
    }

    /** Returns the ids of the engines, the decode engine first. */
    List<String> place(PlacementQuery query) {
        PromptSize size = query.demand().size().orElse(DEFAULT_SIZE);
        double weight =
                Math.max(1, Math.pow(size.promptTokens() / REFERENCE_TOKENS, WEIGHT_EXPONENT));
        Prompt prompt =
                new Prompt(
                        query,
                        new ForwardPassModel(query.service().engineSpec().orElseThrow()),
                        size,
                        weight,
                        false);
        mTracker.removeExpired();
        List<Candidate> candidates = candidates(query);
        Plan plan = bestPlan(prompt, candidates);
        double latest = DEFERRAL_FACTOR * query.demand().objective().toMillis();
        boolean isLate = slotWaitMillis(prompt, plan.decodeEngine()) > latest;
        return engineIds(isLate ? bestPlan(prompt.deferred(), candidates) : plan);
    }

    private Plan bestPlan(Prompt prompt, List<Candidate> candidates) {
        return IntStream.rangeClosed(1, Math.min(MAX_EXTRA_PREFILL_ENGINES + 1, candidates.size()))
                .mapToObj(parts -> plan(prompt, candidates, parts))
                .min(Comparator.comparingDouble(Plan::cost))
                .orElseThrow();
    }

    private List<Candidate> candidates(PlacementQuery query) {
        List<Candidate> all =
                mRegistry.available(query.service().name()).stream()
                        .filter(each -> !query.excluded().contains(each.id()))
                        .map(
                                each ->
                                        new Candidate(
                                                each,
                                                mTracker.estimateLoad(each.id()),
                                                penalty(each)))
                        .toList();
        List<Candidate> healthy =
                all.stream().filter(each -> !mHealth.isUnhealthy(each.backEnd().id())).toList();
        return healthy.isEmpty() ? all : healthy;
    }

    private double penalty(BackEnd engine) {
        return mHealth.failureWeight(engine.id()) * mTuning.failureCost()
                + mTuning.jitterCost() * mRandom.nextDouble();
    }

    private Plan plan(Prompt prompt, List<Candidate> candidates, int parts) {
        double partMillis = prompt.partMillis(parts);
        Candidate decodeEngine =
                candidates.stream()
                        .min(
                                Comparator.comparingDouble(
                                        each -> decodeCost(prompt, each, parts, partMillis)))
                        .orElseThrow();
        boolean isLeased =
                parts > 1 && prompt.neededTokens() > freeMemoryTokens(prompt, decodeEngine.load());
        double partTokens = Math.ceil((double) prompt.size().promptTokens() / parts);
        List<Candidate> prefillEngines =
                candidates.stream()
                        .filter(each -> each != decodeEngine)
                        .filter(
                                each ->
                                        !isLeased
                                                || partTokens
                                                        <= freeMemoryTokens(prompt, each.load()))
                        .sorted(
                                Comparator.comparingDouble(
                                        each -> prefillCost(prompt, each, partMillis)))
                        .limit(parts - 1L)
                        .toList();
        boolean lacksMemory =
                prefillEngines.size() < parts - 1
                        || lacksMemory(prompt, decodeEngine.load(), parts);
        double firstEventMillis =
                slotWaitMillis(prompt, decodeEngine)
                        + prefillFinishMillis(prompt, decodeEngine, partMillis);
        double cost =
                decodeCost(prompt, decodeEngine, parts, partMillis)
                        - latenessCost(prompt, firstEventMillis);
        for (Candidate prefillEngine : prefillEngines) {
            firstEventMillis =
                    Math.max(
                            firstEventMillis,
                            prefillFinishMillis(prompt, prefillEngine, partMillis));
            cost +=
                    interferenceCost(prompt, prefillEngine, partMillis)
                            + prefillEngine.penalty()
                            + mTuning.extraEngineCost();
        }
        return new Plan(
                decodeEngine,
                prefillEngines,
                firstEventMillis,
                cost
                        + latenessCost(prompt, firstEventMillis)
                        + (lacksMemory ? prompt.weight() * mTuning.noCapacityCost() : 0),
                lacksMemory);
    }

    private static double slotWaitMillis(Prompt prompt, Candidate candidate) {
        return candidate.load().slotWaitMillis(prompt.model().spec().slots(), prompt.isDeferred());
    }

    private static double prefillFinishMillis(
            Prompt prompt, Candidate candidate, double partMillis) {
        return candidate.load().prefillFinishMillis(prompt.model(), partMillis);
    }

    /** Cost that the pass which prefills the part causes for the decode requests on the engine. */
    private double interferenceCost(Prompt prompt, Candidate candidate, double partMillis) {
        EngineLoadEstimate load = candidate.load();
        double passMillis = load.passMillis(prompt.model(), partMillis);
        return load.interferenceCost(passMillis / mTuning.gapSafetyFactor());
    }

    /** Cost of a first event at that time for the request. */
    private double latenessCost(Prompt prompt, double firstEventMillis) {
        double objectiveShare =
                firstEventMillis / Math.max(1, prompt.query().demand().objective().toMillis());
        double scaled = (objectiveShare - mTuning.objectiveMidpoint()) / mTuning.objectiveSpread();
        return prompt.weight()
                * (1 / (1 + Math.exp(-scaled)) + mTuning.latencyCost() * objectiveShare);
    }

    private double prefillCost(Prompt prompt, Candidate candidate, double partMillis) {
        return interferenceCost(prompt, candidate, partMillis)
                + latenessCost(prompt, prefillFinishMillis(prompt, candidate, partMillis))
                + candidate.penalty();
    }

    private double decodeCost(Prompt prompt, Candidate candidate, int parts, double partMillis) {
        EngineLoadEstimate load = candidate.load();
        EngineSpec spec = prompt.model().spec();
        double slotUsage = (load.decodes().size() + 1.0) / spec.slots();
        double slotCost = mTuning.slotUsageCost() * Math.pow(slotUsage, 4);
        boolean isFull = slotUsage > 1 || lacksMemory(prompt, load, parts);
        boolean isFirstDecode = !load.hasDecodeWithMaxGap(prompt.maxGapMillis());
        double firstEventMillis =
                slotWaitMillis(prompt, candidate)
                        + prefillFinishMillis(prompt, candidate, partMillis);
        return interferenceCost(prompt, candidate, partMillis)
                + latenessCost(prompt, firstEventMillis)
                + candidate.penalty()
                + slotCost
                + (isFull ? mTuning.noCapacityCost() : 0)
                + (isFirstDecode ? mTuning.firstDecodeCost() : 0);
    }

    /**
     * Whether the engine lacks memory for the prompt, even if the other engines hold their own
     * parts.
     */
    private static boolean lacksMemory(Prompt prompt, EngineLoadEstimate load, int parts) {
        double freeTokens = freeMemoryTokens(prompt, load);
        boolean fitsWhole = prompt.neededTokens() <= freeTokens;
        double ownPart = (double) prompt.size().promptTokens() / parts;
        return !fitsWhole && (parts == 1 || ownPart + prompt.size().maxOutputTokens() > freeTokens);
    }

    private static double freeMemoryTokens(Prompt prompt, EngineLoadEstimate load) {
        return USABLE_MEMORY_FRACTION * prompt.model().spec().memoryTokens()
                - load.reservedTokens();
    }

    private static List<String> engineIds(Plan plan) {
        return Stream.concat(Stream.of(plan.decodeEngine()), plan.prefillEngines().stream())
                .map(each -> each.backEnd().id())
                .toList();
    }
}
