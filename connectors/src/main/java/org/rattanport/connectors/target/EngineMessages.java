package org.rattanport.connectors.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.target.EngineCall;
import org.rattanport.kernel.target.EngineState;
import org.rattanport.kernel.target.MemoryAllocation;
import org.rattanport.kernel.target.PrefilledSegment;
import org.rattanport.kernel.target.SegmentPrefill;

/** Encodes and decodes the JSON messages of engines. */
final class EngineMessages {
    /** Name of the object that holds the extensions to the chat-completions format. */
    static final String EXTENSIONS = "rattanport";

    private EngineMessages() {}

    static ObjectNode completionRequest(EngineCall call, long remainingMillis) {
        ObjectNode body = Json.newObject();
        body.put("model", call.request().model());
        body.putArray("messages").addObject().put("role", "user").put("content", call.prompt());
        body.put("max_tokens", call.request().maximumOutputTokens());
        body.put("stream", true);
        ObjectNode extensions = body.putObject(EXTENSIONS);
        extensions.put("key", call.streamKey());
        extensions.put("priority", call.enginePriority());
        extensions.put("continue_at", call.continuation().position());
        extensions.put("continue_text", call.continuation().text());
        extensions.put("attach", call.continuation().isAttached());
        extensions.put("deadline_millis", remainingMillis);
        putOwner(extensions, call.owner());
        putSegments(extensions, call.prefilledSegments());
        return body;
    }

    static ObjectNode segmentRequest(SegmentPrefill prefill, long remainingMillis) {
        ObjectNode body = Json.newObject();
        body.put("key", prefill.key());
        body.put("text", prefill.text());
        body.put("tokens", prefill.tokens());
        body.put("deadline_millis", remainingMillis);
        putOwner(body, prefill.owner());
        putSegments(body, prefill.earlierSegments());
        return body;
    }

    private static void putOwner(ObjectNode node, InstanceId owner) {
        node.put("owner", owner.name()).put("owner_incarnation", owner.incarnation());
    }

    private static void putSegments(ObjectNode node, List<PrefilledSegment> segments) {
        ArrayNode list = node.putArray("pieces");
        segments.forEach(
                segment ->
                        list.addObject()
                                .put("holder", segment.holder().address())
                                .put("key", segment.key())
                                .put("tokens", segment.tokens()));
    }

    static AnswerChunk chunk(JsonNode node) {
        JsonNode choice = node.path("choices").path(0);
        JsonNode extensions = node.path(EXTENSIONS);
        return new AnswerChunk(
                extensions.path("position").asInt(),
                extensions.path("tokens").asInt(),
                choice.path("delta").path("content").asText(""),
                extensions.path("last").asBoolean(),
                choice.path("finish_reason").asText(""),
                Optional.ofNullable(extensions.get("load")).map(EngineMessages::load));
    }

    static TargetLoad load(JsonNode node) {
        return new TargetLoad(
                new TargetId(node.path("name").asText(), node.path("incarnation").asLong()),
                node.path("sequence").asLong(),
                node.path("waiting_prompt_tokens").asLong(),
                node.path("running_streams").asInt(),
                node.path("used_memory_tokens").asLong(),
                node.path("total_memory_tokens").asLong(),
                node.path("prefill_tokens_per_second").asDouble(),
                node.path("seconds_per_output_token").asDouble(),
                node.path("leaving").asBoolean());
    }

    static MemoryAllocation memoryAllocation(JsonNode node) {
        return new MemoryAllocation(
                node.path("key").asText(),
                new InstanceId(
                        node.path("owner").asText(), node.path("owner_incarnation").asLong()),
                node.path("tokens").asLong(),
                node.path("age_seconds").asDouble());
    }

    static EngineState state(JsonNode node) {
        return new EngineState(
                node.path("model").asText(),
                node.path("version").asText(),
                node.path("loading").asBoolean(),
                node.path("fencing_number").asLong());
    }
}
