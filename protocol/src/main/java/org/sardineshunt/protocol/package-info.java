/** Messages between nodes, generated from {@code peer.proto}, and their framing on TCP. */
package org.sardineshunt.protocol;
