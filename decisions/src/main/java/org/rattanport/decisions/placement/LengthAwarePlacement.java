package org.rattanport.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.model.TargetId;

/**
 * Places prompts so that short prompts do not wait behind long ones.
 *
 * <p>Each engine is assigned to one length class. A prompt goes to an engine of its own class with
 * a small backlog. Otherwise it borrows an engine of another class within that engine's borrowing
 * budget. Otherwise it waits in the queue of this instance, where a more urgent prompt can still
 * overtake it. Among engines with nearly the same predicted time the choice is random, so that
 * instances with the same load reports do not all choose the same engine.
 */
public final class LengthAwarePlacement implements PlacementPolicy {
    private static final double MEMORY_SAFETY_SHARE = 0.03;
    private static final double MEMORY_RESERVED_FOR_SHORTER_SHARE = 0.3;
    private static final double MIN_BACKLOG_LIMIT_SECONDS = 0.4;
    private static final double BORROWING_SHARE = 0.25;
    private static final double BORROWING_PENALTY_SECONDS = 0.08;
    private static final double TIE_RELATIVE_TOLERANCE = 0.15;
    private static final double TIE_TOLERANCE_SECONDS = 0.02;
    private static final int PRIORITIES_PER_CLASS = 10;

    private final CostModel mCost;
    private final RandomGenerator mRandom;
    private CachedAssignment mAssignment =
            new CachedAssignment("", List.of(), List.of(), Optional.empty());

    public LengthAwarePlacement(CostModel cost, RandomGenerator random) {
        mCost = cost;
        mRandom = random;
    }

    @Override
    public String name() {
        return "length-aware";
    }

    @Override
    public Optional<Placement> choose(PlacementRequest request) {
        EngineClassAssignment assignment = assignment(request);
        List<Scored> fitting = new ArrayList<>();
        double best = Double.MAX_VALUE;
        for (Candidate candidate : request.allowed()) {
            Scored scored = score(request, candidate, assignment);
            if (scored != null) {
                fitting.add(scored);
                best = Math.min(best, scored.seconds());
            }
        }
        if (fitting.isEmpty()) {
            return Optional.empty();
        }
        double limit = best * (1 + TIE_RELATIVE_TOLERANCE) + TIE_TOLERANCE_SECONDS;
        List<Scored> tied = fitting.stream().filter(each -> each.seconds() <= limit).toList();
        Scored chosen = tied.get(mRandom.nextInt(tied.size()));
        int engineClass = assignment.lengthClass(chosen.candidate().target().id().name());
        if (chosen.isBorrowed() && request.lengthClass() < engineClass) {
            chosen.candidate().load().chargeBorrowing(request.request().promptTokens());
        }
        return Optional.of(
                new Placement(
                        chosen.candidate().target(),
                        enginePriority(request),
                        chosen.isBorrowed(),
                        chosen.firstTokenSeconds()));
    }

    private @org.jspecify.annotations.Nullable Scored score(
            PlacementRequest request, Candidate candidate, EngineClassAssignment assignment) {
        int engineClass = assignment.lengthClass(candidate.target().id().name());
        int lengthClass = request.lengthClass();
        boolean isBorrowed = engineClass != lengthClass && assignment.hasEngines(lengthClass);
        if (!fitsMemory(request, candidate, lengthClass > engineClass && isBorrowed)) {
            return null;
        }
        double backlog = mCost.backlogSeconds(candidate.load());
        double firstToken =
                mCost.secondsToFirstToken(candidate.load(), request.request().promptTokens());
        double ownPrefill = firstToken - backlog;
        if (isBorrowed) {
            return mayBorrow(request, candidate, assignment, backlog)
                    ? new Scored(
                            candidate, firstToken + BORROWING_PENALTY_SECONDS, firstToken, true)
                    : null;
        }
        // A long prompt may wait at the engine for up to its own prefill time: keeping the engine
        // busy matters more than its order among the waiting prompts.
        double backlogLimit = Math.max(MIN_BACKLOG_LIMIT_SECONDS, Math.min(ownPrefill, 2));
        return backlog <= backlogLimit
                ? new Scored(candidate, firstToken, firstToken, false)
                : null;
    }

    private static boolean fitsMemory(
            PlacementRequest request, Candidate candidate, boolean reservesForShorter) {
        long total = candidate.load().report().totalMemoryTokens();
        double reserved =
                reservesForShorter ? MEMORY_RESERVED_FOR_SHORTER_SHARE : MEMORY_SAFETY_SHARE;
        long needed = request.request().totalTokens() + (long) (total * reserved);
        return candidate.load().freeMemoryTokens() >= needed;
    }

    /**
     * Whether a prompt may borrow an engine of another class. Any prompt may borrow an idle engine.
     * A shorter prompt otherwise borrows within a budget, which leaves most of the engine to its
     * own class. A longer prompt otherwise needs an engine that is open to longer classes and has
     * no prefill backlog; there it has a lower priority than the engine's own class.
     */
    private static boolean mayBorrow(
            PlacementRequest request,
            Candidate candidate,
            EngineClassAssignment assignment,
            double backlog) {
        String name = candidate.target().id().name();
        boolean isIdle = backlog == 0 && candidate.load().report().runningStreams() == 0;
        if (isIdle && candidate.load().outstanding() == 0) {
            return true;
        }
        if (request.lengthClass() > assignment.lengthClass(name)) {
            return backlog == 0 && assignment.acceptsLongerClasses(name);
        }
        double rate =
                CostModel.prefillRate(candidate.load().report())
                        * BORROWING_SHARE
                        / Math.max(1, request.instances());
        return candidate.load().hasBorrowingBudget(rate, request.nowNanos());
    }

    /** Engine priority: shorter classes first, then by the account's priority. */
    private static int enginePriority(PlacementRequest request) {
        int classes = request.document().lengthClasses().size();
        int classPriority = (classes - request.lengthClass()) * PRIORITIES_PER_CLASS;
        return classPriority
                + Math.clamp(request.request().priority(), 0, PRIORITIES_PER_CLASS - 1);
    }

    private synchronized EngineClassAssignment assignment(PlacementRequest request) {
        List<TargetId> engines =
                request.candidates().stream().map(each -> each.target().id()).toList();
        String model = request.request().model();
        List<LengthClass> classes = request.document().lengthClasses();
        if (!mAssignment.matches(model, engines, classes)) {
            EngineClassAssignment assigned =
                    EngineClassAssignment.assign(model, request.candidates(), classes);
            mAssignment = new CachedAssignment(model, engines, classes, Optional.of(assigned));
        }
        return mAssignment.assignment().orElseThrow();
    }

    /** The latest assignment with the inputs that it was computed from. */
    private record CachedAssignment(
            String model,
            List<TargetId> engines,
            List<LengthClass> classes,
            Optional<EngineClassAssignment> assignment) {
        boolean matches(String model, List<TargetId> engines, List<LengthClass> classes) {
            return assignment.isPresent()
                    && this.model.equals(model)
                    && this.engines.equals(engines)
                    && this.classes.equals(classes);
        }
    }

    private record Scored(
            Candidate candidate, double seconds, double firstTokenSeconds, boolean isBorrowed) {}
}
