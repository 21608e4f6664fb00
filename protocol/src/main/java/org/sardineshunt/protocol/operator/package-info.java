/** Messages between nodes and operator programs, sent as JSON over HTTP. */
package org.sardineshunt.protocol.operator;
