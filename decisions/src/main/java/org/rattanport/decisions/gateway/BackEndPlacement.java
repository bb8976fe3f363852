package org.rattanport.decisions.gateway;

import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;

/** Chooses where a request goes. */
public interface BackEndPlacement {
    /**
     * Chooses a back end.
     *
     * @param service service that the request belongs to
     * @param request the request
     * @param excluded ids of back ends that it was sent to before
     */
    Optional<Placement> place(BackEndService service, CallerRequest request, Set<String> excluded);
}
