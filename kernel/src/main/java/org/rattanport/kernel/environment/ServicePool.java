package org.rattanport.kernel.environment;

import java.util.List;
import java.util.Optional;

/**
 * A plain service and its operations.
 *
 * @param name service name in requests and pool name of the targets
 * @param checksFencingNumbers whether the targets refuse a call with an outdated fencing number
 * @param operations operations of the service
 */
public record ServicePool(String name, boolean checksFencingNumbers, List<Operation> operations) {
    public Optional<Operation> operation(String name) {
        return operations.stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
