package org.rattanport.decisions.admission;

import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.request.PromptRequest;

/** A prompt to admit, with the active environment and the client account. */
public record AdmissionRequest(
        PromptRequest request, ActiveEnvironment environment, ClientAccount account) {
    public int lengthClass() {
        return environment.document().lengthClassIndex(request.promptTokens());
    }
}
