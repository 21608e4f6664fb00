/** The proxy node beside a backend server: entry for callers and home of the upstreams that announce themselves. */
package org.sardineshunt.node;
