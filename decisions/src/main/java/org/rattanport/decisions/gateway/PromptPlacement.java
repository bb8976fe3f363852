package org.rattanport.decisions.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineFigures;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.gateway.Share;
import org.rattanport.kernel.gateway.Work;

/**
 * Places a prompt by predicted passes. An engine reads in the passes in which others write, so a
 * long part makes their pauses long: the cost of a place is what the request loses by a late first
 * event and what the writers at each engine lose by the pass that reads its part.
 */
public final class PromptPlacement implements BackEndPlacement {
    /** Engines that may read besides the one that writes; the engines' own limit. */
    private static final int MOST_READERS = 16;

    /** Size assumed of a prompt that does not tell its size. */
    private static final PromptSize UNKNOWN_SIZE = new PromptSize(2_000, 500);

    /** Prompt of weight one; the value of an answer grows with the work that it stands for. */
    private static final double USUAL_TOKENS = 5_000;

    private static final double WEIGHT_GROWTH = 0.75;

    /** Part of an engine's memory that is planned with; the rest takes what is not known. */
    private static final double MEMORY_USE = 0.92;

    private record Candidate(BackEnd backEnd, EnginePicture picture, double penalty) {}

    /** The prompt to place, and what follows from it. */
    private record Prompt(PlacementQuery query, PassModel model, PromptSize size, double weight) {
        double pauseMillis() {
            return query.longestPause().toMillis();
        }

        double partMillis(int parts) {
            return model.readMillis(size.promptTokens(), parts);
        }

        long neededTokens() {
            return (long) size.promptTokens() + size.answerTokens();
        }
    }

    private record Plan(Candidate writer, List<Candidate> readers, double first, double cost) {
        int parts() {
            return readers.size() + 1;
        }
    }

    private final BackEndRegister mRegister;
    private final BackEndHealth mHealth;
    private final WorkBook mBook;
    private final PlacementTuning mTuning;
    private final Random mRandom;

    public PromptPlacement(
            BackEndRegister register,
            BackEndHealth health,
            WorkBook book,
            PlacementTuning tuning,
            Random random) {
        mRegister = register;
        mHealth = health;
        mBook = book;
        mTuning = tuning;
        mRandom = random;
    }

    @Override
    public Optional<Placement> place(PlacementQuery query) {
        PromptSize size = query.request().size().orElse(UNKNOWN_SIZE);
        double weight = Math.max(1, Math.pow(size.promptTokens() / USUAL_TOKENS, WEIGHT_GROWTH));
        Prompt prompt =
                new Prompt(
                        query, new PassModel(query.service().engine().orElseThrow()), size, weight);
        mBook.forgetOld();
        List<Candidate> candidates = candidates(query);
        return IntStream.rangeClosed(1, Math.min(MOST_READERS + 1, candidates.size()))
                .mapToObj(parts -> plan(prompt, candidates, parts))
                .min(Comparator.comparingDouble(Plan::cost))
                .map(plan -> placement(prompt, plan));
    }

    private List<Candidate> candidates(PlacementQuery query) {
        List<Candidate> all =
                mRegister.of(query.service().name()).stream()
                        .filter(each -> !query.excluded().contains(each.id()))
                        .map(each -> new Candidate(each, mBook.picture(each.id()), penalty(each)))
                        .toList();
        List<Candidate> sound =
                all.stream().filter(each -> !mHealth.isAvoided(each.backEnd().id())).toList();
        return sound.isEmpty() ? all : sound;
    }

    private double penalty(BackEnd engine) {
        return mHealth.weight(engine.id()) * mTuning.failure()
                + mTuning.spread() * mRandom.nextDouble();
    }

    private Plan plan(Prompt prompt, List<Candidate> candidates, int parts) {
        double partMillis = prompt.partMillis(parts);
        Candidate writer =
                candidates.stream()
                        .min(
                                Comparator.comparingDouble(
                                        each -> writerCost(prompt, each, parts, partMillis)))
                        .orElseThrow();
        List<Candidate> readers =
                candidates.stream()
                        .filter(each -> each != writer)
                        .sorted(
                                Comparator.comparingDouble(
                                        each -> readerCost(prompt, each, partMillis)))
                        .limit(parts - 1L)
                        .toList();
        double first = finish(prompt, writer, partMillis);
        double cost = writerCost(prompt, writer, parts, partMillis) - lateness(prompt, first);
        for (Candidate reader : readers) {
            first = Math.max(first, finish(prompt, reader, partMillis));
            cost += harm(prompt, reader, partMillis) + reader.penalty() + mTuning.joining();
        }
        return new Plan(writer, readers, first, cost + lateness(prompt, first));
    }

    private static double finish(Prompt prompt, Candidate candidate, double partMillis) {
        return candidate.picture().readFinishMillis(prompt.model(), partMillis);
    }

    /** What the writers at the engine lose by the pass that reads the part. */
    private double harm(Prompt prompt, Candidate candidate, double partMillis) {
        EnginePicture picture = candidate.picture();
        double pass = picture.passMillis(prompt.model(), partMillis);
        return picture.harm(pass / mTuning.safePause());
    }

    /** What the request loses by its first event at that time. */
    private double lateness(Prompt prompt, double firstMillis) {
        double part = firstMillis / Math.max(1, prompt.query().objective().toMillis());
        double beyond = (part - mTuning.safeObjective()) / mTuning.objectiveSpread();
        return prompt.weight() * (1 / (1 + Math.exp(-beyond)) + mTuning.haste() * part);
    }

    private double readerCost(Prompt prompt, Candidate candidate, double partMillis) {
        return harm(prompt, candidate, partMillis)
                + lateness(prompt, finish(prompt, candidate, partMillis))
                + candidate.penalty();
    }

    private double writerCost(Prompt prompt, Candidate candidate, int parts, double partMillis) {
        EnginePicture picture = candidate.picture();
        EngineFigures figures = prompt.model().figures();
        double taken = (picture.writers().size() + 1.0) / figures.slots();
        double crowd = mTuning.crowding() * Math.pow(taken, 4);
        boolean isFull = taken > 1 || lacksMemory(prompt, picture, parts);
        boolean opens = !picture.hasWriterOfPause(prompt.pauseMillis());
        return readerCost(prompt, candidate, partMillis)
                + crowd
                + (isFull ? mTuning.full() : 0)
                + (opens ? mTuning.opening() : 0);
    }

    /** Whether the prompt would not fit even when the other engines hold their parts. */
    private static boolean lacksMemory(Prompt prompt, EnginePicture picture, int parts) {
        double room = room(prompt, picture);
        boolean fitsWhole = prompt.neededTokens() <= room;
        double ownPart = (double) prompt.size().promptTokens() / parts;
        return !fitsWhole && (parts == 1 || ownPart + prompt.size().answerTokens() > room);
    }

    private static double room(Prompt prompt, EnginePicture picture) {
        return MEMORY_USE * prompt.model().figures().memoryTokens() - picture.heldTokens();
    }

    private Placement placement(Prompt prompt, Plan plan) {
        int parts = plan.parts();
        int partTokens = Math.ceilDiv(prompt.size().promptTokens(), parts);
        double partMillis = prompt.partMillis(parts);
        boolean isLeased =
                parts > 1 && prompt.neededTokens() > room(prompt, plan.writer().picture());
        int leased = isLeased ? partTokens : 0;
        int held = (int) prompt.neededTokens() - leased * (parts - 1);
        String attempt = prompt.query().request().attemptId();
        List<Share> shares = new ArrayList<>();
        List<Reservation> reservations = new ArrayList<>();
        // Ids are new for each sending, as the engines may still be ending an earlier one.
        String lease = attempt + "-" + Long.toString(mRandom.nextLong() >>> 1, Character.MAX_RADIX);
        BackEnd writer = plan.writer().backEnd();
        shares.add(new Share(writer.id(), partTokens, partMillis, held, true));
        for (Candidate reader : plan.readers()) {
            BackEnd engine = reader.backEnd();
            shares.add(new Share(engine.id(), partTokens, partMillis, leased, false));
            if (isLeased) {
                String id = lease + "-" + reservations.size();
                reservations.add(new Reservation(engine, id, leased));
            }
        }
        Work work =
                new Work(
                        attempt,
                        shares,
                        plan.first(),
                        answerMillis(prompt, plan.writer(), held),
                        prompt.pauseMillis(),
                        prompt.weight());
        List<BackEnd> readers = plan.readers().stream().map(Candidate::backEnd).toList();
        return new Placement(writer, readers, reservations, Optional.of(work));
    }

    private static double answerMillis(Prompt prompt, Candidate writer, int held) {
        PassModel model = prompt.model();
        double pass = model.writingPassMillis(writer.picture().writers().size() + 1, held);
        return pass * prompt.size().answerTokens() / Math.max(1, model.figures().stride());
    }
}
