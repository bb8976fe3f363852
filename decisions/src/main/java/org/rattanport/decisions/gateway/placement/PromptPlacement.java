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

    /** Fraction of an engine's memory that placement uses; the rest covers unknown requests. */
    private static final double USABLE_MEMORY_FRACTION = 0.92;

    /** An engine with the tokens of the prompt's beginning that it holds. */
    private record Candidate(
            BackEnd backEnd, EngineLoadEstimate load, double penalty, int heldTokens) {
        Candidate relativeTo(double slowdown) {
            double relative = Math.max(1, load.slowdown() / slowdown);
            return new Candidate(backEnd, load.withSlowdown(relative), penalty, heldTokens);
        }
    }

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

        /** Urgency changes only when an engine admits the prompt, not the order of prefill work. */
        boolean waitsTooLongForASlot(Plan plan) {
            return LatePrompts.isLate(query.demand(), plan.slotWaitMillis());
        }

        /** When to place the prompt again; empty if it is sent now. */
        Optional<Duration> postponement(Plan plan) {
            boolean isLate = LatePrompts.isLate(query.demand(), plan.firstEventMillis());
            if (!isLate && !plan.lacksMemory()) {
                return Optional.empty();
            }
            double prefillMillis = model.prefillMillis(size.promptTokens(), 1);
            return LatePrompts.postponement(
                    query.demand(), prefillMillis, plan.firstEventMillis(), plan.lacksMemory());
        }

        double maxGapMillis() {
            return query.demand().maxEventGap().toMillis();
        }

        /** Prefill time of a part; the equal parts of a split prompt gain nothing at a holder. */
        double partMillis(int parts, Candidate candidate) {
            return parts == 1 && candidate.heldTokens() > 0
                    ? model.restPrefillMillis(size.promptTokens(), candidate.heldTokens())
                    : model.prefillMillis(size.promptTokens(), parts);
        }

        /** Tokens of a part that the engine prefills. */
        int partTokens(int parts, Candidate candidate) {
            int heldTokens = parts == 1 ? candidate.heldTokens() : 0;
            return Math.ceilDiv(size.promptTokens() - heldTokens, parts);
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
            double slotWaitMillis,
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
    private final RetainedPrompts mRetained;
    private final EngineGroupIndex mGroups = new EngineGroupIndex();

    public PromptPlacement(
            BackEndRegistry registry,
            BackEndHealth health,
            WorkTracker tracker,
            PlacementTuning tuning,
            Random random) {
        this(registry, health, tracker, tuning, random, new NoRetainedPrompts());
    }

    /** Creates a placement that knows which prompts the engines retain. */
    public PromptPlacement(
            BackEndRegistry registry,
            BackEndHealth health,
            WorkTracker tracker,
            PlacementTuning tuning,
            Random random,
            RetainedPrompts retained) {
        mRegistry = registry;
        mHealth = health;
        mTracker = tracker;
        mTuning = tuning;
        mRandom = random;
        mRetained = retained;
    }

    @Override
    public Optional<Placement> place(PlacementQuery query) {
        Prompt prompt = prompt(query);
        mTracker.removeExpired();
        List<Candidate> candidates = candidates(prompt);
        return bestPlan(prompt, candidates)
                .flatMap(
                        plan ->
                                prompt.waitsTooLongForASlot(plan)
                                        ? bestPlan(prompt.deferred(), candidates)
                                                .map(each -> atItsTime(prompt.deferred(), each))
                                        : Optional.of(atItsTime(prompt, plan)));
    }

    /** A long prompt that would be late, or lacks memory, may have to wait. */
    private static Placement atItsTime(Prompt prompt, Plan plan) {
        Placement placement = placement(prompt, plan);
        return prompt.postponement(plan).map(placement::postponed).orElse(placement);
    }

    private Optional<Plan> bestPlan(Prompt prompt, List<Candidate> candidates) {
        return IntStream.rangeClosed(1, Math.min(MAX_EXTRA_PREFILL_ENGINES + 1, candidates.size()))
                .mapToObj(parts -> plan(prompt, candidates, parts))
                .min(Comparator.comparingDouble(Plan::cost));
    }

    /** Estimates the placement of the whole prompt at one engine, whether it accepts it or not. */
    public EngineEstimate estimate(PlacementQuery query, BackEnd engine) {
        Prompt prompt = prompt(query);
        Candidate candidate = candidate(prompt, engine, prefixes(query));
        EngineLoadEstimate load = candidate.load();
        double prefillMillis = prompt.partMillis(1, candidate);
        double firstEventMillis =
                slotWaitMillis(prompt, candidate)
                        + prefillFinishMillis(prompt, candidate, prefillMillis);
        return new EngineEstimate(
                firstEventMillis,
                prefillMillis,
                candidate.heldTokens(),
                slotUsage(prompt, load) <= 1,
                !lacksMemory(prompt, load, 1),
                latenessCost(prompt, firstEventMillis),
                interferenceCost(prompt, candidate, prefillMillis),
                candidate.penalty(),
                slotCost(prompt, load),
                noCapacityCost(prompt, load, 1),
                firstDecodeCost(prompt, load));
    }

    private static Prompt prompt(PlacementQuery query) {
        PromptSize size = query.demand().size().orElse(DEFAULT_SIZE);
        double weight =
                Math.max(1, Math.pow(size.promptTokens() / REFERENCE_TOKENS, WEIGHT_EXPONENT));
        return new Prompt(
                query,
                new ForwardPassModel(query.service().engineSpec().orElseThrow()),
                size,
                weight,
                false);
    }

    private static List<PromptPrefix> prefixes(PlacementQuery query) {
        return query.retainsPrompt() ? PromptPrefix.of(query.demand().parts()) : List.of();
    }

    private List<Candidate> candidates(Prompt prompt) {
        PlacementQuery query = prompt.query();
        List<PromptPrefix> prefixes = prefixes(query);
        List<Candidate> all =
                mRegistry.available(query.service().name()).stream()
                        .filter(each -> !query.excluded().contains(each.id()))
                        .filter(each -> mGroups.contains(query.demand().group(), each.id()))
                        .map(each -> candidate(prompt, each, prefixes))
                        .toList();
        List<Candidate> compared = relativeToUsualSlowdown(all);
        List<Candidate> healthy =
                compared.stream()
                        .filter(each -> !mHealth.isUnhealthy(each.backEnd().id()))
                        .toList();
        return healthy.isEmpty() ? compared : healthy;
    }

    /** A slowdown that most engines share shows wrong figures, which hold for all of them. */
    private static List<Candidate> relativeToUsualSlowdown(List<Candidate> all) {
        double shared =
                EngineSlowdowns.sharedFactor(
                        all.stream().mapToDouble(each -> each.load().slowdown()));
        if (shared <= 1) {
            return all;
        }
        return all.stream().map(each -> each.relativeTo(shared)).toList();
    }

    private Candidate candidate(Prompt prompt, BackEnd engine, List<PromptPrefix> prefixes) {
        EngineLoadEstimate load = mTracker.estimateLoad(engine.id());
        int heldTokens = prefixes.isEmpty() ? 0 : heldTokens(prompt, engine, load, prefixes);
        return new Candidate(engine, load, penalty(engine), heldTokens);
    }

    /**
     * Tokens of the prompt's beginning that the engine need not prefill; at least the last token is
     * always prefilled. A full engine saves nothing: the prompt waits there, and what the engine
     * holds may be evicted meanwhile.
     */
    private int heldTokens(
            Prompt prompt, BackEnd engine, EngineLoadEstimate load, List<PromptPrefix> prefixes) {
        if (isFull(prompt, load, 1)) {
            return 0;
        }
        long room = prompt.model().spec().memoryTokens() - load.reservedTokens();
        long held = mRetained.heldTokens(engine, prefixes, room);
        return Math.clamp(held, 0, Math.max(0, prompt.size().promptTokens() - 1));
    }

    private double penalty(BackEnd engine) {
        return mHealth.failureWeight(engine.id()) * mTuning.failureCost()
                + mTuning.jitterCost() * mRandom.nextDouble();
    }

    private Plan plan(Prompt prompt, List<Candidate> candidates, int parts) {
        RatedCandidate decode =
                candidates.stream()
                        .map(each -> new RatedCandidate(each, decodeCost(prompt, each, parts)))
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
                                                        prefillCost(
                                                                prompt,
                                                                each,
                                                                prompt.partMillis(parts, each))))
                                .sorted(Comparator.comparingDouble(RatedCandidate::cost))
                                .limit(parts - 1L)
                                .map(RatedCandidate::candidate)
                                .toList();
        double partMillis = prompt.partMillis(parts, decodeEngine);
        boolean lacksMemory =
                prefillEngines.size() < parts - 1
                        || lacksMemory(prompt, decodeEngine.load(), parts);
        double slotWaitMillis = slotWaitMillis(prompt, decodeEngine);
        double firstEventMillis =
                slotWaitMillis + prefillFinishMillis(prompt, decodeEngine, partMillis);
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
                slotWaitMillis,
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

    private double decodeCost(Prompt prompt, Candidate candidate, int parts) {
        double partMillis = prompt.partMillis(parts, candidate);
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
        return slotCost(prompt, load)
                + noCapacityCost(prompt, load, parts)
                + firstDecodeCost(prompt, load)
                + slowDecodeCost(prompt, load);
    }

    /** Cost of decode passes that a slowdown makes longer than the gaps that are on time. */
    private double slowDecodeCost(Prompt prompt, EngineLoadEstimate load) {
        double passMillis =
                load.slowdown()
                        * prompt.model()
                                .decodePassMillis(
                                        load.activeDecodes() + 1,
                                        load.contextTokens() + prompt.neededTokens());
        boolean isLate =
                load.slowdown() > 1
                        && passMillis / mTuning.gapSafetyFactor() > prompt.maxGapMillis();
        return isLate ? prompt.weight() : 0;
    }

    private double slotCost(Prompt prompt, EngineLoadEstimate load) {
        return mTuning.slotUsageCost() * Math.pow(slotUsage(prompt, load), 4);
    }

    private double noCapacityCost(Prompt prompt, EngineLoadEstimate load, int parts) {
        return isFull(prompt, load, parts) ? mTuning.noCapacityCost() : 0;
    }

    private double firstDecodeCost(Prompt prompt, EngineLoadEstimate load) {
        return load.hasDecodeWithMaxGap(prompt.maxGapMillis()) ? 0 : mTuning.firstDecodeCost();
    }

    private static double slotUsage(Prompt prompt, EngineLoadEstimate load) {
        return (load.decodes().size() + 1.0) / prompt.model().spec().slots();
    }

    private static boolean isFull(Prompt prompt, EngineLoadEstimate load, int parts) {
        return slotUsage(prompt, load) > 1 || lacksMemory(prompt, load, parts);
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

    private static Placement placement(Prompt prompt, Plan plan) {
        int parts = plan.parts();
        int partTokens = prompt.partTokens(parts, plan.decodeEngine());
        double partMillis = prompt.partMillis(parts, plan.decodeEngine());
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
        return decodeEngine.load().slowdown()
                * passMillis
                * prompt.size().maxOutputTokens()
                / Math.max(1, model.spec().decodeStepsPerPass());
    }
}
