package org.sardineshunt.node.caller;

import java.util.List;

import io.vavr.control.Option;
import org.sardineshunt.node.NodeSettings.RouteSettings;

/** Finds the route of a request: the first one whose method and path fit. Immutable and thread-safe. */
final class Routes {
    private final List<RouteSettings> routes;

    Routes(List<RouteSettings> routes) {
        this.routes = List.copyOf(routes);
    }

    Option<RouteSettings> find(String method, String path) {
        return Option.ofOptional(routes.stream()
                .filter(route -> route.method().equals("*") || route.method().equals(method))
                .filter(route -> fits(route.path(), path))
                .findFirst());
    }

    private static boolean fits(String prefix, String path) {
        return path.startsWith(prefix)
                && (prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/');
    }
}
