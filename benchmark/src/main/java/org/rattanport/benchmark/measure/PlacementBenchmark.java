package org.rattanport.benchmark.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.rattanport.connectors.json.JsonDocumentParser;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.placement.LengthAwarePlacement;
import org.rattanport.decisions.placement.Placement;
import org.rattanport.decisions.placement.PlacementRequest;
import org.rattanport.decisions.target.EngineLoad;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.standins.fleet.FleetDocument;

/** Measures the time of one placement decision. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PlacementBenchmark {
    private static final int ACCOUNTS = 460;

    @Param({"24", "120", "600"})
    private int mEngines;

    private final LengthAwarePlacement mPolicy =
            new LengthAwarePlacement(new CostModel(), new Random(1));
    private final List<Candidate> mCandidates = new ArrayList<>();
    private final List<PlacementRequest> mRequests = new ArrayList<>();
    private int mNext;

    /** Creates the engines and one request for each account. */
    @Setup
    public void setUp() {
        EnvironmentDocument document =
                new JsonDocumentParser().parse(FleetDocument.withAccounts(ACCOUNTS).json());
        Random random = new Random(2);
        IntStream.range(0, mEngines).forEach(i -> mCandidates.add(candidate(i, random)));
        IntStream.range(0, ACCOUNTS).forEach(i -> mRequests.add(request(i, document, random)));
    }

    /** Selects the engine for one prompt. */
    @Benchmark
    public Optional<Placement> choose() {
        mNext = (mNext + 1) % ACCOUNTS;
        return mPolicy.choose(mRequests.get(mNext));
    }

    private PlacementRequest request(int account, EnvironmentDocument document, Random random) {
        int tokens = 1_000 + random.nextInt(100_000);
        PromptRequest request =
                PromptRequest.builder()
                        .account(new AccountId("account-" + account))
                        .model(FleetDocument.MODEL)
                        .promptTokens(tokens)
                        .build();
        return new PlacementRequest(
                request,
                document,
                document.lengthClassIndex(tokens),
                0,
                Set.of(),
                mCandidates,
                330,
                0);
    }

    private static Candidate candidate(int index, Random random) {
        TargetId id = new TargetId("engine-" + index, 1);
        TargetLoad load =
                new TargetLoad(
                        id,
                        1,
                        random.nextInt(5_000),
                        8,
                        random.nextInt(200_000),
                        400_000,
                        13_000,
                        0.02,
                        false);
        Target target =
                new Target(id, TargetKind.ENGINE, FleetDocument.MODEL, "127.0.0.1:1", "dc", false);
        return new Candidate(target, new EngineLoad(load, 0));
    }
}
