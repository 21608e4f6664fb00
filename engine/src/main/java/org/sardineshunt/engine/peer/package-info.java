/** Connections between nodes, and the directory of nodes. */
package org.sardineshunt.engine.peer;
