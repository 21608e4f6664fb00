package org.sardineshunt.node.caller;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vavr.control.Option;
import org.sardineshunt.node.NodeSettings.RouteSettings;

/**
 * Finds the route of a request: the first one, in the order of the settings, that matches its method and path.
 *
 * <p>Routes are indexed by their path, so that the cost of a lookup depends on the segments of the request's path and
 * not on the number of routes. Immutable and thread-safe.
 */
public final class RouteTable {
    private final Map<String, List<Entry>> byPath = new HashMap<>();

    /** Creates a table of routes; the first that matches a request applies. */
    public RouteTable(List<RouteSettings> routes) {
        Map<String, List<Entry>> entriesByPath = new HashMap<>();
        IntStream.range(0, routes.size()).forEach(position -> {
            RouteSettings route = routes.get(position);
            entriesByPath.merge(route.path(), List.of(new Entry(position, route)), RouteTable::concatenate);
        });
        byPath.putAll(entriesByPath);
    }

    /** Returns the route of a request, or none if no route matches. */
    public Option<RouteSettings> find(String method, String path) {
        return Option.ofOptional(prefixes(path)
                .flatMap(prefix -> byPath.getOrDefault(prefix, List.of()).stream())
                .filter(entry -> entry.matches(method))
                .min(Comparator.comparingInt(Entry::position))
                .map(Entry::route));
    }

    /** Returns the route paths that match a path: the path itself, and its prefixes that end before or with a slash. */
    private static Stream<String> prefixes(String path) {
        Stream<String> atSlashes = IntStream.range(0, path.length())
                .filter(position -> path.charAt(position) == '/')
                .boxed()
                .flatMap(position -> Stream.of(path.substring(0, position), path.substring(0, position + 1)));
        return Stream.concat(atSlashes, Stream.of(path)).distinct();
    }

    private static List<Entry> concatenate(List<Entry> first, List<Entry> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    private record Entry(int position, RouteSettings route) {
        private boolean matches(String method) {
            return route.method().equals("*") || route.method().equals(method);
        }
    }
}
