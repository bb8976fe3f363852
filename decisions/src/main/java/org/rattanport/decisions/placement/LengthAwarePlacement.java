package org.rattanport.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.target.EngineBoard.Candidate;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.model.TargetId;

/**
 * Places prompts so that short ones do not wait behind long ones.
 *
 * <p>Each engine serves one length class first. A prompt goes to an engine of its own class with a
 * small backlog, else borrows one of another class within that engine's borrowing budget, else
 * waits in the queue of this instance, where its order is still open. Among candidates of nearly
 * the same prediction the choice is random, so that instances with the same reports do not all
 * choose the same engine.
 */
public final class LengthAwarePlacement implements PlacementPolicy {
    private static final double MEMORY_SAFETY_SHARE = 0.03;
    private static final double MEMORY_RESERVED_FOR_SHORTER_SHARE = 0.3;
    private static final double MAX_BACKLOG_SECONDS = 0.4;
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
        EngineLanes lanes = assignment(request);
        List<Scored> fitting = new ArrayList<>();
        double best = Double.MAX_VALUE;
        for (Candidate candidate : request.allowed()) {
            Scored scored = score(request, candidate, lanes);
            if (scored != null) {
                fitting.add(scored);
                best = Math.min(best, scored.seconds());
            }
        }
        if (fitting.isEmpty()) {
            return Optional.empty();
        }
        double limit = best * (1 + TIE_RELATIVE_TOLERANCE) + TIE_TOLERANCE_SECONDS;
        List<Scored> nearlyBest = fitting.stream().filter(each -> each.seconds() <= limit).toList();
        Scored chosen = nearlyBest.get(mRandom.nextInt(nearlyBest.size()));
        int lane = lanes.lengthClass(chosen.candidate().target().id().name());
        if (chosen.isBorrowed() && request.lengthClass() < lane) {
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
            PlacementRequest request, Candidate candidate, EngineLanes lanes) {
        int lane = lanes.lengthClass(candidate.target().id().name());
        int lengthClass = request.lengthClass();
        boolean isBorrowed = lane != lengthClass && lanes.hasEngines(lengthClass);
        if (!fitsMemory(request, candidate, lengthClass > lane && isBorrowed)) {
            return null;
        }
        double backlog = mCost.backlogSeconds(candidate.load());
        double firstToken =
                mCost.secondsToFirstToken(candidate.load(), request.request().promptTokens());
        double ownPrefill = firstToken - backlog;
        if (isBorrowed) {
            return mayBorrow(request, candidate, lanes, backlog)
                    ? new Scored(
                            candidate, firstToken + BORROWING_PENALTY_SECONDS, firstToken, true)
                    : null;
        }
        // A long prompt may queue at the engine for as long as it computes itself; its order among
        // others matters less than keeping the engine busy.
        double window = Math.max(MAX_BACKLOG_SECONDS, Math.min(ownPrefill, 2));
        return backlog <= window ? new Scored(candidate, firstToken, firstToken, false) : null;
    }

    private static boolean fitsMemory(
            PlacementRequest request, Candidate candidate, boolean keepsForShorter) {
        long total = candidate.load().report().totalMemoryTokens();
        double kept = keepsForShorter ? MEMORY_RESERVED_FOR_SHORTER_SHARE : MEMORY_SAFETY_SHARE;
        long needed = request.request().totalTokens() + (long) (total * kept);
        return candidate.load().freeMemoryTokens() >= needed;
    }

    /**
     * A shorter class borrows within a budget, so that the engine's own class keeps most of it. A
     * longer one borrows an engine that has nothing to read, if it is open or has no stream at all,
     * and goes behind all others there.
     */
    private static boolean mayBorrow(
            PlacementRequest request, Candidate candidate, EngineLanes lanes, double backlog) {
        String name = candidate.target().id().name();
        boolean isIdle = backlog == 0 && candidate.load().report().runningStreams() == 0;
        if (isIdle && candidate.load().outstanding() == 0) {
            return true;
        }
        if (request.lengthClass() > lanes.lengthClass(name)) {
            return backlog == 0 && lanes.acceptsLongerClasses(name);
        }
        double rate =
                CostModel.prefillRate(candidate.load().report())
                        * BORROWING_SHARE
                        / Math.max(1, request.instances());
        return candidate.load().hasBorrowingBudget(rate, request.nowNanos());
    }

    /** Shorter classes go first inside an engine, then the account's priority counts. */
    private static int enginePriority(PlacementRequest request) {
        int classes = request.document().lengthClasses().size();
        int ofClass = (classes - request.lengthClass()) * PRIORITIES_PER_CLASS;
        return ofClass + Math.clamp(request.request().priority(), 0, PRIORITIES_PER_CLASS - 1);
    }

    private synchronized EngineLanes assignment(PlacementRequest request) {
        List<TargetId> engines =
                request.candidates().stream().map(each -> each.target().id()).toList();
        String model = request.request().model();
        List<LengthClass> classes = request.document().lengthClasses();
        if (!mAssignment.matches(model, engines, classes)) {
            EngineLanes assigned = EngineLanes.assign(model, request.candidates(), classes);
            mAssignment = new CachedAssignment(model, engines, classes, Optional.of(assigned));
        }
        return mAssignment.assignment().orElseThrow();
    }

    /** The last assignment and what it was made from. */
    private record CachedAssignment(
            String model,
            List<TargetId> engines,
            List<LengthClass> classes,
            Optional<EngineLanes> assignment) {
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
