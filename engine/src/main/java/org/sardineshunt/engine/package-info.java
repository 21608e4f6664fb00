/**
 * The engine of a node: the entry for callers and the home of one upstream, independent of how upstreams and
 * configurations are announced.
 */
package org.sardineshunt.engine;
