/** Other nodes: links, membership and gossip. */
package org.sardineshunt.node.peer;
