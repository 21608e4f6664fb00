/** Decides whether a failed attempt is retried. */
package org.sardineshunt.coordination.retry;
