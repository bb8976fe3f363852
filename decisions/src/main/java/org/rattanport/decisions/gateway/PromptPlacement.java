package org.rattanport.decisions.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineFigures;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.gateway.Share;
import org.rattanport.kernel.gateway.Work;

/**
 * Places a prompt by predicted passes: the engine that writes, and the engines that read parts of
 * the prompt for it, are those that would be done first.
 */
public final class PromptPlacement implements BackEndPlacement {
    /** Engines that may read besides the one that writes; the engines' own limit. */
    private static final int MOST_READERS = 16;

    /** Size assumed of a prompt that does not tell its size. */
    private static final PromptSize UNKNOWN_SIZE = new PromptSize(2_000, 500);

    /** Milliseconds that near-equal engines are spread over, so that instances do not herd. */
    private static final double SPREAD_MILLIS = 4;

    /** Milliseconds that a recent failure of full weight counts. */
    private static final double FAILURE_MILLIS = 2_000;

    /** Part of a full engine's memory that is planned with; the rest takes what is not known. */
    private static final double MEMORY_USE = 0.95;

    private record Candidate(BackEnd backEnd, EnginePicture picture, double penalty) {}

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
    public Optional<Placement> place(
            BackEndService service, CallerRequest request, Set<String> excluded) {
        EngineFigures figures = service.engine().orElseThrow();
        PassModel model = new PassModel(figures);
        PromptSize size = request.size().orElse(UNKNOWN_SIZE);
        mBook.forgetOld();
        List<Candidate> candidates = candidates(service.name(), excluded);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int parts = Math.min(parts(size, model), candidates.size());
        double partTokens = (double) size.promptTokens() / parts;
        double partMillis = model.readMillis(size.promptTokens(), parts);
        Candidate writer = writer(candidates, size, model, partTokens, partMillis);
        List<Candidate> readers =
                candidates.stream()
                        .filter(each -> each != writer)
                        .sorted(
                                Comparator.comparingDouble(
                                        each -> readerCost(each, model, partTokens, partMillis)))
                        .limit(parts - 1L)
                        .toList();
        return Optional.of(placement(request, size, model, writer, readers));
    }

    private List<Candidate> candidates(String service, Set<String> excluded) {
        List<Candidate> all =
                mRegister.of(service).stream()
                        .filter(each -> !excluded.contains(each.id()))
                        .map(each -> new Candidate(each, mBook.picture(each.id()), penalty(each)))
                        .collect(Collectors.toList());
        List<Candidate> sound =
                all.stream().filter(each -> !mHealth.isAvoided(each.backEnd().id())).toList();
        return sound.isEmpty() ? all : sound;
    }

    private double penalty(BackEnd engine) {
        return mHealth.weight(engine.id()) * FAILURE_MILLIS + SPREAD_MILLIS * mRandom.nextDouble();
    }

    private int parts(PromptSize size, PassModel model) {
        int wanted = (int) Math.ceil((double) size.promptTokens() / mTuning.partTokens());
        return Math.clamp(wanted, 1, MOST_READERS + 1);
    }

    private Candidate writer(
            List<Candidate> candidates,
            PromptSize size,
            PassModel model,
            double partTokens,
            double partMillis) {
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(
                                each -> writerCost(each, size, model, partTokens, partMillis)))
                .orElseThrow();
    }

    private double writerCost(
            Candidate candidate,
            PromptSize size,
            PassModel model,
            double partTokens,
            double partMillis) {
        EnginePicture picture = candidate.picture();
        EngineFigures figures = model.figures();
        double finish = picture.readFinishMillis(model, partTokens, partMillis);
        double crowd = mTuning.writerMillis() * picture.writers();
        double full = picture.writers() >= figures.slots() ? mTuning.fullMillis() : 0;
        double memory = size.promptTokens() + size.answerTokens() + picture.heldTokens();
        double overflow =
                memory > MEMORY_USE * figures.memoryTokens() ? mTuning.overflowMillis() : 0;
        return finish + crowd + full + overflow + candidate.penalty();
    }

    private double readerCost(
            Candidate candidate, PassModel model, double partTokens, double partMillis) {
        EnginePicture picture = candidate.picture();
        return picture.readFinishMillis(model, partTokens, partMillis)
                + mTuning.disturbedMillis() * picture.waitingReads()
                + candidate.penalty();
    }

    private Placement placement(
            CallerRequest request,
            PromptSize size,
            PassModel model,
            Candidate writer,
            List<Candidate> readers) {
        int parts = readers.size() + 1;
        int partTokens = Math.ceilDiv(size.promptTokens(), parts);
        double partMillis = model.readMillis(size.promptTokens(), parts);
        boolean isLeased = !readers.isEmpty() && needsLeases(size, model, writer);
        int leased = isLeased ? partTokens : 0;
        int held = size.promptTokens() + size.answerTokens() - leased * readers.size();
        List<Share> shares = new ArrayList<>();
        List<Reservation> reservations = new ArrayList<>();
        shares.add(new Share(writer.backEnd().id(), partTokens, partMillis, held, true));
        double first = writer.picture().readFinishMillis(model, partTokens, partMillis);
        for (Candidate reader : readers) {
            BackEnd engine = reader.backEnd();
            shares.add(new Share(engine.id(), partTokens, partMillis, leased, false));
            if (isLeased) {
                String id = request.attemptId() + "-" + reservations.size();
                reservations.add(new Reservation(engine, id, leased));
            }
            double finish = reader.picture().readFinishMillis(model, partTokens, partMillis);
            first = Math.max(first, finish);
        }
        double pass = model.writingPassMillis(writer.picture().writers() + 1, held);
        double answer = pass * size.answerTokens() / Math.max(1, model.figures().stride());
        return new Placement(
                writer.backEnd(),
                readers.stream().map(Candidate::backEnd).toList(),
                reservations,
                Optional.of(new Work(request.attemptId(), shares, first, answer)));
    }

    /** Whether the engine that writes has no room for the whole prompt. */
    private static boolean needsLeases(PromptSize size, PassModel model, Candidate writer) {
        long needed = (long) size.promptTokens() + size.answerTokens();
        double room = MEMORY_USE * model.figures().memoryTokens() - writer.picture().heldTokens();
        return needed > room;
    }

    /** Returns the engines by what is known of their work, for operators. */
    public Map<String, EnginePicture> pictures(String service) {
        return mRegister.of(service).stream()
                .collect(Collectors.toMap(BackEnd::id, each -> mBook.picture(each.id())));
    }
}
