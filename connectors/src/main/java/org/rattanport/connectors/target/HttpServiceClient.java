package org.rattanport.connectors.target;

import java.nio.charset.StandardCharsets;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.ActionResult;
import org.rattanport.kernel.target.ServiceClient;
import org.rattanport.kernel.time.Deadline;

/** Calls plain services with a POST request to the path of the operation. */
public final class HttpServiceClient implements ServiceClient {
    private static final String FENCING_NUMBER = "Fencing-Number";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final int SERVER_ERROR = 500;

    private final HttpClient mHttp;

    public HttpServiceClient(HttpClient http) {
        mHttp = http;
    }

    @Override
    public ActionResult call(
            Target target, Operation operation, ActionRequest request, long fencingNumber) {
        HttpClientRequest.Builder httpRequest =
                HttpClientRequest.builder(target.address(), "/" + operation.name())
                        .header("Rattanport-Account", request.account().value());
        if (fencingNumber > 0) {
            httpRequest.header(FENCING_NUMBER, Long.toString(fencingNumber));
        }
        request.idempotencyKey().ifPresent(key -> httpRequest.header(IDEMPOTENCY_KEY, key));
        byte[] body = request.body().getBytes(StandardCharsets.UTF_8);
        return result(
                target, operation, execute(target, httpRequest.post(body), request.deadline()));
    }

    private HttpClientResponse execute(
            Target target, HttpClientRequest request, Deadline deadline) {
        try {
            return mHttp.execute(request, deadline);
        } catch (RattanportException e) {
            throw TargetErrors.callFailed(target, e);
        }
    }

    /**
     * Maps a response to a result. A status below 500 is the service's own response; another one
     * may come from a crash while the operation ran.
     */
    private static ActionResult result(
            Target target, Operation operation, HttpClientResponse response) {
        if (operation.notRunStatuses().contains(response.status())) {
            ErrorCode code =
                    response.errorCode().equals("leaving")
                            ? ErrorCode.TARGET_LEAVING
                            : ErrorCode.TARGET_REFUSED;
            throw RattanportException.builder(
                            code,
                            "target "
                                    + target.id()
                                    + " refused the call with status "
                                    + response.status())
                    .verdict(Verdict.NOT_RUN)
                    .build();
        }
        if (response.status() >= SERVER_ERROR) {
            throw RattanportException.builder(
                            ErrorCode.TARGET_FAILED,
                            "target " + target.id() + " returned status " + response.status())
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }
        return new ActionResult(response.status(), response.text(), false);
    }
}
