/** Which service a request goes to. */
package org.sardineshunt.coordination.route;
