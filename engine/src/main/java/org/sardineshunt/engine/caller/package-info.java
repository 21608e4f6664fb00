/** The entry for callers: receives their requests, sends attempts to homes and responds. */
package org.sardineshunt.engine.caller;
