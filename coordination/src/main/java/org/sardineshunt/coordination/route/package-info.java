/** Selects the service that a request goes to. */
package org.sardineshunt.coordination.route;
