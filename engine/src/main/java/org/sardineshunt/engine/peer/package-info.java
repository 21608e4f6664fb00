/** What engines say to one another. */
package org.sardineshunt.engine.peer;
