package org.rattanport.connectors.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.connectors.http.BaseUrl;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.connectors.http.SocketAddresses;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.platform.InstanceList;
import org.rattanport.kernel.time.Deadline;

/** Reads the instance list over HTTP; conditional requests avoid resending an unchanged list. */
public final class HttpInstanceList implements InstanceList {
    private static final Logger LOGGER = Logger.getLogger(HttpInstanceList.class);

    private static final int NOT_MODIFIED = 304;

    /** The last listing and its entity tag. */
    private record CachedListing(String entityTag, Listing listing) {}

    private final HttpClient mHttp;
    private final BaseUrl mBaseUrl;
    private volatile Optional<CachedListing> mCached = Optional.empty();

    public HttpInstanceList(HttpClient http, String baseUrl) {
        mHttp = http;
        mBaseUrl = BaseUrl.parse(baseUrl);
    }

    @Override
    public Listing read(Deadline deadline) {
        Optional<CachedListing> cached = mCached;
        HttpClientRequest.Builder request = mBaseUrl.request("/instances");
        cached.ifPresent(each -> request.header("If-None-Match", each.entityTag()));
        HttpClientResponse response = execute(request.get(), deadline);
        if (response.status() == NOT_MODIFIED && cached.isPresent()) {
            return cached.get().listing();
        }
        if (!response.isSuccess()) {
            throw unavailable("returned status " + response.status());
        }
        Listing listing = listing(response.json());
        mCached = response.entityTag().map(tag -> new CachedListing(tag, listing));
        return listing;
    }

    private HttpClientResponse execute(HttpClientRequest request, Deadline deadline) {
        try {
            return mHttp.execute(request, deadline);
        } catch (RattanportException e) {
            throw unavailable("did not complete the request: " + e.getMessage());
        }
    }

    static Listing listing(JsonNode node) {
        List<Target> targets = new ArrayList<>();
        node.path("targets").forEach(each -> target(each).ifPresent(targets::add));
        List<ListedInstance> instances = new ArrayList<>();
        node.path("instances").forEach(each -> instances.add(instance(each)));
        return new Listing(targets, instances);
    }

    /** Returns the target of an entry; empty for an entry of an unknown kind or address. */
    private static Optional<Target> target(JsonNode node) {
        String address = node.path("address").asText();
        String kindName = node.path("kind").asText();
        Optional<TargetKind> kind =
                Arrays.stream(TargetKind.values())
                        .filter(each -> each.name().equals(kindName))
                        .findFirst();
        if (kind.isEmpty() || SocketAddresses.port(address).isEmpty()) {
            LOGGER.debugf("entry of the instance list names no target: %s", node.path("name"));
            return Optional.empty();
        }
        return Optional.of(
                new Target(
                        new TargetId(node.path("name").asText(), node.path("incarnation").asLong()),
                        kind.get(),
                        node.path("pool").asText(),
                        address,
                        node.path("data_centre").asText(),
                        node.path("leaving").asBoolean()));
    }

    private static ListedInstance instance(JsonNode node) {
        return new ListedInstance(
                node.path("name").asText(),
                node.path("caller_address").asText(),
                node.path("peer_address").asText(),
                node.path("data_centre").asText(),
                node.path("leaving").asBoolean());
    }

    private static RattanportException unavailable(String problem) {
        return new RattanportException(ErrorCode.STORE_UNAVAILABLE, "the instance list " + problem);
    }
}
