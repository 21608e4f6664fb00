/** Membership of the fleet, by SWIM: failure detection, gossip, and anti-entropy of the member tables. */
package org.sardineshunt.coordination.membership;
