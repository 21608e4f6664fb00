package org.sardineshunt.engine.http;

import java.util.List;

/**
 * A response whose body is passed on while it arrives. The body fails if it will never be complete.
 *
 * @param status HTTP status code
 * @param headers headers in the order in which they were sent
 * @param body the body
 */
public record StreamedResponse(int status, List<HttpHeader> headers, StreamedBody body) {}
