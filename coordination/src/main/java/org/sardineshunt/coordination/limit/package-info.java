/** Admission control: the queue of an upstream, its cold-start ramp and the rate limits of client accounts. */
package org.sardineshunt.coordination.limit;
