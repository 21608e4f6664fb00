/** What the engine says to callers. */
package org.sardineshunt.engine.caller;
