/** What the engine says to the upstream beside it. */
package org.sardineshunt.engine.backendserver;
