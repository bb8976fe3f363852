package org.rattanport.kernel.target;

import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.ActionResult;

/** Client of plain services. Errors carry the verdict of the call. */
public interface ServiceClient {
    /** Calls the operation. The fencing number is 0 for a call without a claim. */
    ActionResult call(
            Target target, Operation operation, ActionRequest request, long fencingNumber);
}
