package org.rattanport.connectors.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.PromptRequest;

/** Builds responses in the format of the chat-completions API. */
final class ChatResponses {
    /** Name of the object that holds the fields that the chat-completions API does not define. */
    static final String EXTENSIONS = "rattanport";

    private static final long MILLIS_PER_SECOND = 1000;

    private ChatResponses() {}

    /** Builds one event of a streamed answer. */
    static ObjectNode chunk(PromptRequest request, AnswerChunk chunk) {
        ObjectNode node = commonFields(request, "chat.completion.chunk");
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (chunk.position() == 0) {
            delta.put("role", "assistant");
        }
        delta.put("content", chunk.text());
        if (chunk.isLast()) {
            choice.put("finish_reason", chunk.finishReason());
        } else {
            choice.putNull("finish_reason");
        }
        node.putObject(EXTENSIONS).put("position", chunk.position()).put("tokens", chunk.tokens());
        return node;
    }

    /** Builds the response that holds a whole answer. */
    static ObjectNode completion(PromptRequest request, CollectingSink answer) {
        ObjectNode node = commonFields(request, "chat.completion");
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0).put("finish_reason", answer.finishReason());
        choice.putObject("message").put("role", "assistant").put("content", answer.text());
        node.putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("completion_tokens", answer.tokens())
                .put("total_tokens", request.promptTokens() + answer.tokens());
        return node;
    }

    private static ObjectNode commonFields(PromptRequest request, String type) {
        return Json.newObject()
                .put("id", request.id().value())
                .put("object", type)
                .put("created", System.currentTimeMillis() / MILLIS_PER_SECOND)
                .put("model", request.model());
    }
}
