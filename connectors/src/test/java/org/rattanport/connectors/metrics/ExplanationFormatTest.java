package org.rattanport.connectors.metrics;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.explain.PlacementExplanation;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Engine;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Group;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Limit;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Reason;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Refusal;
import org.rattanport.decisions.gateway.placement.EngineEstimate;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;

/** The output of explanations, which operators read and their scripts parse. */
final class ExplanationFormatTest {
    private static final EngineEstimate IDLE =
            new EngineEstimate(21.4, 21.4, 0, true, true, 0.0104, 0, 0, 0.0001, 0, 0.1);
    private static final EngineEstimate HOLDER =
            new EngineEstimate(58, 12, 4_000, true, true, 0.0122, 0, 0.02, 0.013, 0, 0);
    private static final EngineEstimate FULL =
            new EngineEstimate(740, 21.4, 0, false, false, 1.12, 3, 1.8, 0.32, 2, 0);

    private static BackEnd backEnd(String id) {
        return new BackEnd(id, 1, "engines", "10.0.0.1:80", "zone-a", 8, false);
    }

    private static Engine engine(String id, Reason reason, String detail, EngineEstimate estimate) {
        return new Engine(id, "zone-a", 0, reason, detail, estimate);
    }

    private static Group group(int index, boolean isHere, Placement placement) {
        return new Group(index, "instance-" + index, isHere, Optional.ofNullable(placement));
    }

    private static List<PlacementExplanation> placed() {
        EngineShare share = new EngineShare("engine-0", 1_000, 12, 6_500, true);
        EngineWork work = new EngineWork("explain", List.of(share), 58, 900, 200, 1);
        Placement placement =
                new Placement(
                        backEnd("engine-0"),
                        List.of(backEnd("engine-1")),
                        List.of(),
                        Optional.of(work),
                        0.0452);
        return List.of(
                new PlacementExplanation(
                        "engines",
                        12,
                        Optional.empty(),
                        List.of(group(0, true, placement), group(1, false, null)),
                        List.of(
                                engine("engine-0", Reason.CHOSEN, "", HOLDER),
                                engine("engine-1", Reason.PREFILLS_PART, "", IDLE),
                                engine("engine-2", Reason.GATE, "has reached its rate limit", IDLE),
                                engine("engine-3", Reason.EXCLUDED, "", IDLE),
                                engine("engine-4", Reason.UNHEALTHY, "failure weight 2.0", FULL),
                                engine("engine-5", Reason.FULL, "", FULL),
                                engine("engine-6", Reason.NO_MEMORY, "", FULL),
                                engine("engine-7", Reason.DEARER, "", IDLE),
                                engine("engine-8", Reason.LEAVING, "", IDLE))));
    }

    private static List<PlacementExplanation> refused() {
        Refusal refusal =
                new Refusal(
                        Limit.GATES,
                        "each engine is kept from requests; see the reasons of the engines",
                        Optional.of(Duration.ofMillis(1_250)));
        return List.of(
                new PlacementExplanation(
                        "engines",
                        12,
                        Optional.of(refusal),
                        List.of(group(0, true, null)),
                        List.of(
                                engine(
                                        "engine-0",
                                        Reason.GATE,
                                        "asked for a pause or leaves",
                                        IDLE))));
    }

    @Nested
    final class Text {
        @Test
        void shouldShowAPlacement() {
            Approvals.verify(ExplanationText.format(placed()));
        }

        @Test
        void shouldShowARefusal() {
            Approvals.verify(ExplanationText.format(refused()));
        }
    }

    @Nested
    final class JsonOutput {
        @Test
        void shouldShowAPlacement() {
            Approvals.verify(ExplanationJson.toJson(placed()).toPrettyString());
        }

        @Test
        void shouldShowARefusal() {
            Approvals.verify(ExplanationJson.toJson(refused()).toPrettyString());
        }
    }
}
