package org.rattanport.standins.fleet;

/** Outcome of a service call as its caller saw it; the status is zero if the connection failed. */
public record ActionOutcome(int status, String body, String code, String verdict) {
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
