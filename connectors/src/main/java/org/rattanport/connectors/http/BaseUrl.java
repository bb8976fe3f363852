package org.rattanport.connectors.http;

import java.net.URI;
import java.net.URISyntaxException;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/**
 * Base URL of a platform service, <code>http://IP:port</code> with an optional path prefix.
 *
 * @param address IP and port
 * @param path prefix of the service's own paths, without a slash at its end
 */
public record BaseUrl(String address, String path) {
    /**
     * Parses a base URL from the settings.
     *
     * @throws RattanportException {@code INVALID_SETTINGS}
     */
    public static BaseUrl parse(String url) {
        try {
            URI uri = new URI(url);
            if ("http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0) {
                String path = uri.getPath();
                boolean hasSlash = path.endsWith("/");
                return new BaseUrl(
                        uri.getHost() + ":" + uri.getPort(),
                        hasSlash ? path.substring(0, path.length() - 1) : path);
            }
        } catch (URISyntaxException e) {
            throw invalid(url);
        }
        throw invalid(url);
    }

    private static RattanportException invalid(String url) {
        return new RattanportException(
                ErrorCode.INVALID_SETTINGS, "\"" + url + "\" is not of the form http://IP:port");
    }

    /** Prepares a request for a path below this URL. */
    public HttpClientRequest.Builder request(String requestPath) {
        return HttpClientRequest.builder(address, path + requestPath);
    }
}
