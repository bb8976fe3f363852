package org.rattanport.kernel.environment;

import java.util.List;
import java.util.Optional;

/**
 * A plain service and its operations.
 *
 * @param name service name that callers use; also the pool name of its targets
 * @param checksFencingNumbers whether its targets refuse a call with an old fencing number
 * @param operations what it offers
 */
public record ServicePool(String name, boolean checksFencingNumbers, List<Operation> operations) {
    public Optional<Operation> operation(String name) {
        return operations.stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
