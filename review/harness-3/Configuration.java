/** The manifest of the cases, with the limits of the users' installations. */
final class Configuration {
    static final String TEXT =
            """
            {"version":"r7","routes":[
            {"name":"r-book","host":"shop.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":5000,
            "target_latency_ms":1500,"priority":1,"service":"booking","attempts":2},
            {"name":"r-look","host":"shop.example","prefix":"/look/","kind":"idempotent","timeout_ms":4000,
            "target_latency_ms":1500,"priority":1,"service":"booking","attempts":2}],
            "services":[{"name":"booking","health_check":"/health","connection_limit":390,"protocol":"h1","tls":false}],
            "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private Configuration() {}
}
