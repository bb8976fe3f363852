package org.rattanport.kernel.target;

import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.ActionResult;

/** Calls plain services. Failures carry the verdict of the call. */
public interface ServiceClient {
    /** Calls the operation; the fencing number is zero for calls without a claim. */
    ActionResult call(
            Target target, Operation operation, ActionRequest request, long fencingNumber);
}
