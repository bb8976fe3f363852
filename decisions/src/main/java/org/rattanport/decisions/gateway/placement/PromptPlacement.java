package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PromptSize;

/**
 * Places a prompt by predicted forward passes. An engine prefills in the same passes in which other
 * requests decode, so a long prompt part lengthens their gaps. The cost of a placement is what the
 * prompt loses by a late first event plus what the decode requests on each engine lose by the pass
 * that prefills the part.
 */
public final class PromptPlacement implements BackEndPlacement {
    /** Maximum number of prefill engines besides the decode engine; engines accept no more. */
    private static final int MAX_EXTRA_PREFILL_ENGINES = 16;

    /** Size assumed for a prompt without a declared size. */
    private static final PromptSize DEFAULT_SIZE = new PromptSize(2_000, 500);

    /** Prompt length of weight one; the value of an answer grows with the work it requires. */
    private static final double REFERENCE_TOKENS = 5_000;

    private static final double WEIGHT_EXPONENT = 0.75;

    /**
     * Predicted first event, as a multiple of the objective, from which on a prompt is deferred.
     */
    private static final double DEFERRAL_FACTOR = 1.25;

    /** Prefill time on one engine from which on a late prompt is postponed. */
    private static final double MIN_POSTPONED_MILLIS = 250;

    /** Part of the objective in which a late prompt must be answered to be sent at all. */
    private static final double LATE_START_FRACTION = 0.5;

    /** Shortest and longest time until a late prompt is placed again. */
    private static final double MIN_POSTPONEMENT_MILLIS = 100;

    private static final double MAX_POSTPONEMENT_MILLIS = 500;

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

        boolean isLate(Plan plan) {
            double objective = query.demand().objective().toMillis();
            return plan.firstEventMillis()
                    > DEFERRAL_FACTOR * (objective - query.demand().waited().toMillis());
        }

        /** Whether the prompt is so long that its prefill is what delays others. */
        boolean isLong() {
            return partMillis(1) >= MIN_POSTPONED_MILLIS;
        }

        /** When to place a late prompt again; empty if the engines have room for it. */
        Optional<Duration> postponement(Plan plan) {
            double objective = query.demand().objective().toMillis();
            double excess = plan.firstEventMillis() - LATE_START_FRACTION * objective;
            boolean hasRoom = excess <= 0 && !plan.lacksMemory();
            return query.demand().mayWait() && isLong() && !hasRoom
                    ? Optional.of(
                            Duration.ofMillis(
                                    Math.round(
                                            Math.clamp(
                                                    excess / 2,
                                                    MIN_POSTPONEMENT_MILLIS,
                                                    MAX_POSTPONEMENT_MILLIS))))
                    : Optional.empty();
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

    /** A candidate with its cost as the prefill engine of a part. */
    private record RatedCandidate(Candidate candidate, double cost) {}

    private record Plan(
            Candidate decodeEngine,
            List<Candidate> prefillEngines,
            double firstEventMillis,
            double cost,
            boolean lacksMemory) {
        int parts() {
            return prefillEngines.size() + 1;
        }
    }

    private final BackEndRegistry mRegistry;
    private final BackEndHealth mHealth;
    private final WorkTracker mTracker;
    private final PlacementTuning mTuning;
    private final Random mRandom;
    private final EngineGroupIndex mGroups = new EngineGroupIndex();

    public PromptPlacement(
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

    @Override
    public Optional<Placement> place(PlacementQuery query) {
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
        return bestPlan(prompt, candidates)
                .flatMap(
                        plan ->
                                prompt.isLate(plan) || plan.lacksMemory()
                                        ? placeLate(prompt.deferred(), candidates)
                                        : Optional.of(placement(prompt, plan)));
    }

    /** A late prompt gives way to others, and is postponed while it would make them late too. */
    private Optional<Placement> placeLate(Prompt prompt, List<Candidate> candidates) {
        return bestPlan(prompt, candidates)
                .map(
                        plan -> {
                            Placement placement = placement(prompt, plan);
                            return prompt.postponement(plan)
                                    .map(placement::postponed)
                                    .orElse(placement);
                        });
    }

    private Optional<Plan> bestPlan(Prompt prompt, List<Candidate> candidates) {
        return IntStream.rangeClosed(1, Math.min(MAX_EXTRA_PREFILL_ENGINES + 1, candidates.size()))
                .mapToObj(parts -> plan(prompt, candidates, parts))
                .min(Comparator.comparingDouble(Plan::cost));
    }

    private List<Candidate> candidates(PlacementQuery query) {
        List<Candidate> all =
                mRegistry.available(query.service().name()).stream()
                        .filter(each -> !query.excluded().contains(each.id()))
                        .filter(each -> mGroups.contains(query.demand().group(), each.id()))
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
        RatedCandidate decode =
                candidates.stream()
                        .map(
                                each ->
                                        new RatedCandidate(
                                                each, decodeCost(prompt, each, partMillis, parts)))
                        .min(Comparator.comparingDouble(RatedCandidate::cost))
                        .orElseThrow();
        Candidate decodeEngine = decode.candidate();
        boolean isLeased = isLeased(prompt, decodeEngine, parts);
        List<Candidate> prefillEngines =
                parts == 1
                        ? List.of()
                        : candidates.stream()
                                .filter(each -> each != decodeEngine)
                                .filter(each -> !isLeased || fitsPart(prompt, each, parts))
                                .map(
                                        each ->
                                                new RatedCandidate(
                                                        each,
                                                        prefillCost(prompt, each, partMillis)))
                                .sorted(Comparator.comparingDouble(RatedCandidate::cost))
                                .limit(parts - 1L)
                                .map(RatedCandidate::candidate)
                                .toList();
        boolean lacksMemory =
                prefillEngines.size() < parts - 1
                        || lacksMemory(prompt, decodeEngine.load(), parts);
        double firstEventMillis =
                slotWaitMillis(prompt, decodeEngine)
                        + prefillFinishMillis(prompt, decodeEngine, partMillis);
        double cost = decode.cost() - latenessCost(prompt, firstEventMillis);
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

    /** Whether the prefill engines keep their parts, as the decode engine cannot hold them all. */
    private static boolean isLeased(Prompt prompt, Candidate decodeEngine, int parts) {
        return parts > 1 && prompt.neededTokens() > freeMemoryTokens(prompt, decodeEngine.load());
    }

    private static boolean fitsPart(Prompt prompt, Candidate candidate, int parts) {
        return Math.ceilDiv(prompt.size().promptTokens(), parts)
                <= freeMemoryTokens(prompt, candidate.load());
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

    private static double slotWaitMillis(Prompt prompt, Candidate candidate) {
        return candidate.load().slotWaitMillis(prompt.model().spec().slots(), prompt.isDeferred());
    }

    private double decodeCost(Prompt prompt, Candidate candidate, double partMillis, int parts) {
        double firstEventMillis =
                slotWaitMillis(prompt, candidate)
                        + prefillFinishMillis(prompt, candidate, partMillis);
        return interferenceCost(prompt, candidate, partMillis)
                + latenessCost(prompt, firstEventMillis)
                + candidate.penalty()
                + decodeExtraCost(prompt, candidate, parts);
    }

    /** Cost of the decode engine besides that of its prefill part. */
    private double decodeExtraCost(Prompt prompt, Candidate candidate, int parts) {
        EngineLoadEstimate load = candidate.load();
        EngineSpec spec = prompt.model().spec();
        double slotUsage = (load.decodes().size() + 1.0) / spec.slots();
        double slotCost = mTuning.slotUsageCost() * Math.pow(slotUsage, 4);
        boolean isFull = slotUsage > 1 || lacksMemory(prompt, load, parts);
        boolean isFirstDecode = !load.hasDecodeWithMaxGap(prompt.maxGapMillis());
        return slotCost
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

    private Placement placement(Prompt prompt, Plan plan) {
        int parts = plan.parts();
        int partTokens = Math.ceilDiv(prompt.size().promptTokens(), parts);
        double partMillis = prompt.partMillis(parts);
        boolean isLeased = isLeased(prompt, plan.decodeEngine(), parts);
        int leasedTokens = isLeased ? partTokens : 0;
        int decodeEngineTokens = (int) prompt.neededTokens() - leasedTokens * (parts - 1);
        List<EngineShare> shares = new ArrayList<>();
        shares.add(
                new EngineShare(
                        plan.decodeEngine().backEnd().id(),
                        partTokens,
                        partMillis,
                        decodeEngineTokens,
                        true));
        for (Candidate prefillEngine : plan.prefillEngines()) {
            shares.add(
                    new EngineShare(
                            prefillEngine.backEnd().id(),
                            partTokens,
                            partMillis,
                            leasedTokens,
                            false));
        }
        EngineWork work =
                new EngineWork(
                        prompt.query().demand().attemptId(),
                        shares,
                        plan.firstEventMillis(),
                        decodeMillis(prompt, plan.decodeEngine(), decodeEngineTokens),
                        prompt.maxGapMillis(),
                        prompt.weight(),
                        prompt.isDeferred());
        Map<String, BackEnd> engines =
                Stream.concat(Stream.of(plan.decodeEngine()), plan.prefillEngines().stream())
                        .map(Candidate::backEnd)
                        .collect(Collectors.toMap(BackEnd::id, Function.identity()));
        return Placement.of(work, plan.cost(), id -> Optional.ofNullable(engines.get(id)))
                .orElseThrow();
    }

    private static double decodeMillis(
            Prompt prompt, Candidate decodeEngine, int decodeEngineTokens) {
        ForwardPassModel model = prompt.model();
        double passMillis =
                model.decodePassMillis(
                        decodeEngine.load().decodes().size() + 1, decodeEngineTokens);
        return passMillis
                * prompt.size().maxOutputTokens()
                / Math.max(1, model.spec().decodeStepsPerPass());
    }
}
