package org.rattanport.connectors.metrics;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.rattanport.connectors.json.Json;
import org.rattanport.decisions.gateway.explain.PlacementExplanation;
import org.rattanport.decisions.gateway.placement.EngineEstimate;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineWork;

/** Writes explanations of placements as JSON. */
final class ExplanationJson {
    private static final double THOUSAND = 1_000;

    private ExplanationJson() {}

    static ArrayNode toJson(List<PlacementExplanation> explanations) {
        ArrayNode list = Json.MAPPER.createArrayNode();
        explanations.forEach(each -> list.add(toJson(each)));
        return list;
    }

    private static ObjectNode toJson(PlacementExplanation explanation) {
        ObjectNode node = Json.newObject();
        node.put("service", explanation.service());
        node.put("document_version", explanation.documentVersion());
        explanation.refusal().ifPresent(refusal -> node.set("refusal", toJson(refusal)));
        ArrayNode groups = node.putArray("groups");
        explanation.groups().forEach(each -> groups.add(toJson(each)));
        ArrayNode engines = node.putArray("engines");
        explanation.engines().forEach(each -> engines.add(toJson(each)));
        return node;
    }

    private static ObjectNode toJson(PlacementExplanation.Refusal refusal) {
        ObjectNode node = Json.newObject();
        node.put("limit", wireName(refusal.limit()));
        node.put("message", refusal.message());
        refusal.retryAfter().ifPresent(wait -> node.put("retry_after_millis", wait.toMillis()));
        return node;
    }

    private static ObjectNode toJson(PlacementExplanation.Group group) {
        ObjectNode node = Json.newObject();
        node.put("group", group.index());
        node.put("coordinator", group.coordinator());
        node.put("is_coordinated_here", group.isCoordinatedHere());
        group.placement().ifPresent(placement -> node.set("placement", toJson(placement)));
        return node;
    }

    private static ObjectNode toJson(Placement placement) {
        ObjectNode node = Json.newObject();
        node.put("engine", placement.backEnd().id());
        ArrayNode prefillEngines = node.putArray("prefill_engines");
        placement.prefillEngines().stream().map(BackEnd::id).forEach(prefillEngines::add);
        placement
                .work()
                .map(EngineWork::predictedFirstEventMillis)
                .ifPresent(millis -> node.put("first_event_millis", Math.round(millis)));
        node.put("cost", rounded(placement.cost()));
        return node;
    }

    private static ObjectNode toJson(PlacementExplanation.Engine engine) {
        EngineEstimate estimate = engine.estimate();
        ObjectNode node = Json.newObject();
        node.put("engine", engine.id()).put("data_centre", engine.dataCentre());
        node.put("group", engine.group());
        node.put("reason", wireName(engine.reason()));
        if (!engine.detail().isEmpty()) {
            node.put("detail", engine.detail());
        }
        node.put("first_event_millis", Math.round(estimate.firstEventMillis()));
        node.put("wait_millis", Math.round(estimate.waitMillis()));
        node.put("prefill_millis", Math.round(estimate.prefillMillis()));
        node.put("held_tokens", estimate.heldTokens());
        ObjectNode cost = node.putObject("cost");
        cost.put("lateness", rounded(estimate.latenessCost()));
        cost.put("interference", rounded(estimate.interferenceCost()));
        cost.put("failures", rounded(estimate.failureCost()));
        cost.put("slots", rounded(estimate.slotCost()));
        cost.put("no_capacity", rounded(estimate.noCapacityCost()));
        cost.put("first_decode", rounded(estimate.firstDecodeCost()));
        cost.put("total", rounded(estimate.totalCost()));
        return node;
    }

    static String wireName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static double rounded(double cost) {
        return Math.round(cost * THOUSAND) / THOUSAND;
    }
}
