/** Limits on work: queue of an upstream by rank, cold-start ramp and account limits. */
package org.sardineshunt.coordination.limit;
