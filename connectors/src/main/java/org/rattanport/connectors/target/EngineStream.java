package org.rattanport.connectors.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.rattanport.connectors.http.HttpStream;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.AnswerChunk;

/** An open answer of an engine: reads one server-sent event at a time. */
final class EngineStream {
    private static final String DATA_PREFIX = "data: ";
    private final Target mTarget;
    private final HttpStream mStream;

    EngineStream(Target target, HttpStream stream) {
        mTarget = target;
        mStream = stream;
    }

    /** Reads the next chunk; an end before the last chunk is an error. */
    AnswerChunk next() {
        Optional<String> line = nextLine();
        while (line.isPresent()) {
            if (line.get().startsWith(DATA_PREFIX)) {
                return chunk(line.get().substring(DATA_PREFIX.length()));
            }
            line = nextLine();
        }
        throw truncated("it ended before its last event", ErrorCode.ANSWER_CUT);
    }

    private Optional<String> nextLine() {
        try {
            return mStream.nextLine();
        } catch (RattanportException e) {
            boolean isCut = e.code() == ErrorCode.TARGET_FAILED;
            throw truncated(
                    String.valueOf(e.getMessage()), isCut ? ErrorCode.ANSWER_CUT : e.code());
        }
    }

    private AnswerChunk chunk(String json) {
        try {
            return EngineMessages.chunk(Json.MAPPER.readTree(json));
        } catch (JsonProcessingException e) {
            throw truncated(Json.describe(e), ErrorCode.ANSWER_CUT);
        }
    }

    private RattanportException truncated(String reason, ErrorCode code) {
        return RattanportException.builder(
                        code, "the answer of " + mTarget.id() + " broke off: " + reason)
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }

    void close() {
        mStream.close();
    }
}
