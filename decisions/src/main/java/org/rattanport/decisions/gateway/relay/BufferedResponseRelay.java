package org.rattanport.decisions.gateway.relay;

import java.util.Optional;
import java.util.OptionalInt;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.ResponseWriter;
import org.rattanport.kernel.time.Deadline;

/**
 * Buffers a short response until it is complete, so a response that breaks off never reaches the
 * caller in part. A response above the buffer limit is streamed.
 */
public final class BufferedResponseRelay implements ResponseRelay {
    /** Largest response that is buffered; responses of plain services have a few kilobytes. */
    private static final int MAX_BUFFERED_BYTES = 65_536;

    private final CallerExchange mCaller;
    private final Runnable mOnForwarded;
    private Optional<ResponseWriter> mResponse = Optional.empty();

    public BufferedResponseRelay(CallerExchange caller, Runnable onForwarded) {
        mCaller = caller;
        mOnForwarded = onForwarded;
    }

    @Override
    public void relay(ResponseHead head, BackEndExchange exchange, Deadline deadline) {
        ByteAccumulator buffer = new ByteAccumulator();
        Optional<byte[]> chunk = exchange.awaitChunk(deadline);
        while (chunk.isPresent() && buffer.size() + chunk.get().length <= MAX_BUFFERED_BYTES) {
            buffer.addAll(chunk.get());
            chunk = exchange.awaitChunk(deadline);
        }
        mOnForwarded.run();
        OptionalInt length = chunk.isEmpty() ? OptionalInt.of(buffer.size()) : OptionalInt.empty();
        ResponseWriter response = mCaller.startResponse(head, length);
        mResponse = Optional.of(response);
        response.write(buffer.toArray());
        while (chunk.isPresent()) {
            response.write(chunk.get());
            chunk = exchange.awaitChunk(deadline);
        }
        response.finish();
    }

    @Override
    public boolean hasStarted() {
        return mResponse.isPresent();
    }

    @Override
    public Optional<ResponseRelay> continuation() {
        return mResponse.isPresent() ? Optional.empty() : Optional.of(this);
    }

    @Override
    public void abort() {
        mResponse.ifPresent(ResponseWriter::abort);
    }

    @Override
    public Optional<String> lastEventId() {
        return Optional.empty();
    }
}
