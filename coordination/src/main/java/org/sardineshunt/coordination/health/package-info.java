/** Passive health checks of upstreams, which compare each with the other upstreams of its service. */
package org.sardineshunt.coordination.health;
