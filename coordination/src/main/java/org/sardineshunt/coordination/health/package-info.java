/** Health of upstreams, judged by real work against the other upstreams of the service. */
package org.sardineshunt.coordination.health;
