/** Decides which upstreams of a service receive work, never leaving less capacity than the floor. */
package org.sardineshunt.coordination.rotation;
