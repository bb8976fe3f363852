package org.rattanport.standins.fleet;

/** What a caller got for a service call; status zero when the connection broke. */
public record ActionOutcome(int status, String body, String code, String verdict) {
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
