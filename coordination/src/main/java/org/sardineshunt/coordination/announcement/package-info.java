/** What an upstream says of itself, in the order in which it said it. */
package org.sardineshunt.coordination.announcement;
