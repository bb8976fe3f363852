package org.rattanport.decisions.gateway.discovery;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RoutingDocument;

/** A routing document, indexed by host, account key and service. */
public final class RouteTable {
    private final RoutingDocument mDocument;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, GatewayAccount> mAccountsByKey = new HashMap<>();
    private final Map<String, BackEndService> mServices = new HashMap<>();

    public RouteTable(RoutingDocument document) {
        mDocument = document;
        mRoutesByHost =
                document.routes().stream()
                        .sorted(Comparator.comparingInt(each -> -each.pathPrefix().length()))
                        .collect(Collectors.groupingBy(each -> normalize(each.host())));
        for (GatewayAccount account : document.accounts()) {
            account.keys().forEach(key -> mAccountsByKey.put(key, account));
        }
        document.services().forEach(each -> mServices.put(each.name(), each));
    }

    public RoutingDocument document() {
        return mDocument;
    }

    /** Returns all routes of the host. */
    public List<Route> routes(String host) {
        return mRoutesByHost.getOrDefault(normalize(host), List.of());
    }

    /** Returns the route of the host with the longest prefix that matches the path. */
    public Optional<Route> route(String host, String path) {
        return routes(host).stream().filter(each -> path.startsWith(each.pathPrefix())).findFirst();
    }

    /** Returns the account of the key. */
    public Optional<GatewayAccount> account(String key) {
        return Optional.ofNullable(mAccountsByKey.get(key));
    }

    public Optional<BackEndService> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Whether the document has accounts, so that routes that are not public require a key. */
    public boolean hasAccounts() {
        return !mDocument.accounts().isEmpty();
    }

    private static String normalize(String host) {
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
