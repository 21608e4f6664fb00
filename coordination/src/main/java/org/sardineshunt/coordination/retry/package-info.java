/** Decides whether a failed attempt is retried and whether a slow one gets a second one beside it. */
package org.sardineshunt.coordination.retry;
