package org.rattanport.kernel.request;

import java.util.List;
import org.rattanport.kernel.model.RequestId;

/** The recorded steps of one request in order, for operators. */
public record Explanation(RequestId id, List<Step> steps) {
    /** One decision or event, with its time in milliseconds after the first step. */
    public record Step(long atMillis, String what) {}
}
