/** Serves callers: receives their requests, runs them through home nodes and handles idempotency keys. */
package org.sardineshunt.node.caller;
