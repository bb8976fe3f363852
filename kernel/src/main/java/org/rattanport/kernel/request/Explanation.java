package org.rattanport.kernel.request;

import java.util.List;
import org.rattanport.kernel.model.RequestId;

/** What happened to one request, in order, for operators. */
public record Explanation(RequestId id, List<Step> steps) {
    /** One decision or event; the time is in milliseconds after the first. */
    public record Step(long atMillis, String what) {}
}
