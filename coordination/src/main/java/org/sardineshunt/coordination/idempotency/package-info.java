/**
 * Runs non-idempotent work at most once: idempotency keys, attempts and requests that crash the upstreams that run
 * them.
 */
package org.sardineshunt.coordination.idempotency;
