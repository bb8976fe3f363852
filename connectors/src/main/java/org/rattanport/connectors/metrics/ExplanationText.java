package org.rattanport.connectors.metrics;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.rattanport.decisions.gateway.explain.PlacementExplanation;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Engine;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Group;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Refusal;
import org.rattanport.decisions.gateway.placement.EngineEstimate;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineWork;

/** Writes explanations of placements as tables for people. */
final class ExplanationText {
    private static final String ROW = "%-16s %-8s %5s %11s %7s %7s %7s  %6s  %s%n";
    private static final String COSTS =
            "lateness %.3f, interference %.3f, failures %.3f, slots %.3f, no capacity %.3f,"
                    + " first decode %.3f";

    private ExplanationText() {}

    static String format(List<PlacementExplanation> explanations) {
        return explanations.stream()
                .map(ExplanationText::format)
                .collect(Collectors.joining(System.lineSeparator()));
    }

    private static String format(PlacementExplanation explanation) {
        StringBuilder text = new StringBuilder();
        text.append(
                format(
                        "service %s, document %d%n",
                        explanation.service(), explanation.documentVersion()));
        explanation.refusal().ifPresent(refusal -> text.append(format(refusal)));
        explanation.groups().forEach(each -> text.append(format(each)));
        text.append(
                format(
                        ROW,
                        "engine",
                        "zone",
                        "group",
                        "first event",
                        "wait",
                        "prefill",
                        "held",
                        "cost",
                        "reason"));
        explanation.engines().forEach(each -> text.append(format(each)));
        text.append(format("parts of the cost%n"));
        explanation.engines().forEach(each -> text.append(formatCosts(each)));
        return text.toString();
    }

    private static String format(Refusal refusal) {
        return format(
                "refused, not run: %s: %s%s%n",
                ExplanationJson.wireName(refusal.limit()),
                refusal.message(),
                refusal.retryAfter().map(wait -> "; for " + wait.toMillis() + " ms").orElse(""));
    }

    private static String format(Group group) {
        String coordinator =
                group.isCoordinatedHere() ? "this instance" : "instance " + group.coordinator();
        return format(
                "group %d, placed by %s: %s%n",
                group.index(),
                coordinator,
                group.placement().map(ExplanationText::format).orElse("no engine"));
    }

    private static String format(Placement placement) {
        String prefillEngines =
                placement.prefillEngines().stream()
                        .map(BackEnd::id)
                        .collect(Collectors.joining(", "));
        return format(
                "%s%s, first event after %.0f ms, cost %.3f",
                placement.backEnd().id(),
                prefillEngines.isEmpty() ? "" : ", parts prefilled by " + prefillEngines,
                placement.work().map(EngineWork::predictedFirstEventMillis).orElse(0.0),
                placement.cost());
    }

    private static String format(Engine engine) {
        EngineEstimate estimate = engine.estimate();
        String detail = engine.detail().isEmpty() ? "" : ": " + engine.detail();
        return format(
                ROW,
                engine.id(),
                engine.dataCentre(),
                engine.group(),
                millis(estimate.firstEventMillis()),
                millis(estimate.waitMillis()),
                millis(estimate.prefillMillis()),
                estimate.heldTokens(),
                format("%.3f", estimate.totalCost()),
                ExplanationJson.wireName(engine.reason()) + detail);
    }

    private static String millis(double millis) {
        return format("%.0f ms", millis);
    }

    private static String formatCosts(Engine engine) {
        EngineEstimate estimate = engine.estimate();
        return format("%-16s ", engine.id())
                + format(
                        COSTS,
                        estimate.latenessCost(),
                        estimate.interferenceCost(),
                        estimate.failureCost(),
                        estimate.slotCost(),
                        estimate.noCapacityCost(),
                        estimate.firstDecodeCost())
                + System.lineSeparator();
    }

    /** Formats numbers in the same way in every language of the machine. */
    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
