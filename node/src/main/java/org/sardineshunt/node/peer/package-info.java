/** Communication with other nodes: peer links, membership and gossip. */
package org.sardineshunt.node.peer;
