/** Choice of the home that receives the next attempt, and timing and recipients of load reports. */
package org.sardineshunt.coordination.placement;
