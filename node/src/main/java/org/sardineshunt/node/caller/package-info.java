/** Callers: their requests, keys and answers. */
package org.sardineshunt.node.caller;
