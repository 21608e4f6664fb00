/** Messages between nodes, generated from {@code peer.proto}, and their framing over TCP. */
package org.sardineshunt.protocol;
