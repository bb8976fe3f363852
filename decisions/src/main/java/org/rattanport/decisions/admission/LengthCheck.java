package org.rattanport.decisions.admission;

import org.rattanport.kernel.environment.ModelPool;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.request.PromptRequest;

/** Refuses unknown models, and prompts and answers longer than the environment allows. */
public final class LengthCheck implements AdmissionCheck {
    @Override
    public void check(AdmissionRequest admission) {
        PromptRequest request = admission.request();
        var document = admission.environment().document();
        ModelPool model =
                document.model(request.model())
                        .orElseThrow(
                                () ->
                                        RattanportException.builder(
                                                        ErrorCode.UNKNOWN_MODEL,
                                                        "model \""
                                                                + request.model()
                                                                + "\" does not exist")
                                                .field("model")
                                                .build());
        if (request.promptTokens() > model.maximumPromptTokens()) {
            throw RattanportException.builder(
                            ErrorCode.PROMPT_TOO_LONG,
                            "the prompt has about "
                                    + request.promptTokens()
                                    + " tokens; the maximum for the model is "
                                    + model.maximumPromptTokens())
                    .field("messages")
                    .build();
        }
        int maximumOutput = document.limits().maximumOutputTokens();
        if (request.maximumOutputTokens() > maximumOutput) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST,
                            "max_tokens is "
                                    + request.maximumOutputTokens()
                                    + "; the maximum is "
                                    + maximumOutput
                                    + " output tokens")
                    .field("max_tokens")
                    .build();
        }
    }
}
