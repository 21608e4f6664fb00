/** Which home receives the next attempt. */
package org.sardineshunt.coordination.placement;
