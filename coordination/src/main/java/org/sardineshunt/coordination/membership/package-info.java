/** Which nodes are alive and what they serve: probing with suspicion, gossip and anti-entropy. */
package org.sardineshunt.coordination.membership;
