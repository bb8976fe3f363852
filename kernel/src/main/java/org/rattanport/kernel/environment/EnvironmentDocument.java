package org.rattanport.kernel.environment;

import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.model.AccountId;

/** The description of an environment that operators edit. */
public record EnvironmentDocument(
        String name,
        List<ModelPool> models,
        List<LengthClass> lengthClasses,
        List<ServicePool> services,
        List<ClientAccount> accounts,
        Limits limits) {
    public Optional<ModelPool> model(String name) {
        return models.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    public Optional<ServicePool> service(String name) {
        return services.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    public Optional<ClientAccount> account(AccountId id) {
        return accounts.stream().filter(each -> each.id().equals(id)).findFirst();
    }

    /**
     * Returns the first length class whose bound the prompt does not exceed, else the last class.
     */
    public LengthClass lengthClass(int promptTokens) {
        return lengthClasses.stream()
                .filter(each -> promptTokens <= each.maximumPromptTokens())
                .findFirst()
                .orElseGet(lengthClasses::getLast);
    }

    /**
     * Returns the index of the prompt's length class; classes are ordered by length, shortest
     * first.
     */
    public int lengthClassIndex(int promptTokens) {
        return lengthClasses.indexOf(lengthClass(promptTokens));
    }
}
