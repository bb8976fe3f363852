package org.rattanport.connectors.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.AnswerSink;
import org.rattanport.kernel.request.PromptRequest;

/**
 * Sends an answer as server-sent events. The response starts with the first chunk or the first
 * keep-alive, so that an error before them still sets the HTTP status. Writes block while the
 * caller does not read, so the sink buffers no part of the answer.
 */
final class EventStreamSink implements AnswerSink {
    private static final String DONE_EVENT = "data: [DONE]\n\n";
    private static final String KEEP_ALIVE_COMMENT = ": waiting\n\n";

    private final HttpExchange mExchange;
    private final PromptRequest mRequest;
    private final ResumeTickets mTickets;
    private boolean mIsStreamStarted;
    private Optional<String> mUnsentTicket = Optional.empty();
    private boolean mHasSentChunk;

    EventStreamSink(HttpExchange exchange, PromptRequest request, ResumeTickets tickets) {
        mExchange = exchange;
        mRequest = request;
        mTickets = tickets;
    }

    @Override
    public synchronized void onAttemptStarted(TargetId target, int attempt) {
        ResumeTickets.Ticket ticket =
                new ResumeTickets.Ticket(
                        mRequest.id().value(),
                        mRequest.fingerprint().value(),
                        target.name(),
                        target.incarnation(),
                        attempt);
        mUnsentTicket = Optional.of(mTickets.encrypt(ticket));
    }

    @Override
    public synchronized void accept(AnswerChunk chunk) {
        ObjectNode event = ChatResponses.chunk(mRequest, chunk);
        mUnsentTicket.ifPresent(
                ticket -> ((ObjectNode) event.get(ChatResponses.EXTENSIONS)).put("ticket", ticket));
        mUnsentTicket = Optional.empty();
        mHasSentChunk = true;
        write("data: " + Json.toJsonString(event) + "\n\n" + (chunk.isLast() ? DONE_EVENT : ""));
    }

    /**
     * Sends a comment while the caller waits for the first chunk; the write fails when the caller
     * has disconnected.
     */
    synchronized void keepAlive() {
        if (!mHasSentChunk) {
            write(KEEP_ALIVE_COMMENT);
        }
    }

    /** Whether the response has started, so that an error can be sent only as an event. */
    synchronized boolean isStreamStarted() {
        return mIsStreamStarted;
    }

    /** Ends the stream with an error event, without the event that marks a complete answer. */
    synchronized void fail(RattanportException error) {
        write("data: " + Json.toJsonString(ErrorResponses.body(error)) + "\n\n");
        close();
    }

    synchronized void close() {
        mExchange.endEventStream();
    }

    private void write(String events) {
        if (!mIsStreamStarted) {
            mIsStreamStarted = true;
            mExchange.startEventStream();
        }
        mExchange.writeEvents(events);
    }
}
