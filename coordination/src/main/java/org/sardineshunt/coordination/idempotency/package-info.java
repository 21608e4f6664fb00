/** Running non-idempotent work at most once. */
package org.sardineshunt.coordination.idempotency;
