/**
 * Coordination decisions of a proxy fleet, free of input, output, threads and clocks.
 *
 * <p>Every part receives the current time and its source of randomness as arguments, so a program can embed it and a
 * test can replay it. Parts with state are not thread-safe: confine each one to one thread.
 */
package org.sardineshunt.coordination;
