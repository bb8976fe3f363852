package org.rattanport.kernel.event;

import io.reactivex.rxjava3.core.Flowable;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Consumes streams synchronously on the calling task. */
public final class Streams {
    private Streams() {}

    /**
     * Passes every element to the consumer on the calling task and returns when the stream ends.
     * The stream must emit on the subscribing task. If the consumer throws, this method cancels the
     * stream and rethrows the error.
     */
    public static <T> void forEach(Flowable<T> stream, Consumer<T> consumer) {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        stream.subscribe(consumer::accept, failure::set);
        Throwable error = failure.get();
        if (error instanceof RuntimeException unchecked) {
            throw unchecked;
        }
        if (error != null) {
            throw RattanportException.builder(ErrorCode.INTERNAL, String.valueOf(error))
                    .cause(error)
                    .build();
        }
    }
}
