/** When a failed attempt may be repeated. */
package org.sardineshunt.coordination.retry;
