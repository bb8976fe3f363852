package org.rattanport.kernel.gateway;

import org.rattanport.kernel.task.Cancellation;

/** The answering side of one caller's request; used by the task of the caller's connection. */
public interface CallerExchange {
    /** Cancelled when the caller closes its connection. */
    Cancellation departure();

    /** Sends the status and headers; a length is given only for a whole body at hand. */
    void start(AnswerHead head, java.util.OptionalInt length);

    /** Sends a piece of the body, waiting while the caller does not read. */
    void write(byte[] piece);

    /** Ends the answer as complete. */
    void finish();

    /** Ends the connection so that the answer cannot be taken for complete. */
    void cut();
}
