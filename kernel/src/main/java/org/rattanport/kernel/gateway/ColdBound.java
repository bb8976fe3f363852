package org.rattanport.kernel.gateway;

/**
 * Requests that a cold back end may get within any second, relative to those that it takes.
 *
 * @param overshoot factor on the requests a second that the back end takes
 * @param slack further requests
 */
public record ColdBound(double overshoot, double slack) {
    /** The bound of a deployment whose settings name none. */
    public static final ColdBound DEFAULT = new ColdBound(1.5, 5);

    /** Returns the requests that the bound allows within any second. */
    public double allowed(double requestsPerSecond) {
        return requestsPerSecond * overshoot + slack;
    }
}
