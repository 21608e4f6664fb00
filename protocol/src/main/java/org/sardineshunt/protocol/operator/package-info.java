/** Messages between nodes and the programs of operators, as JSON over HTTP. */
package org.sardineshunt.protocol.operator;
