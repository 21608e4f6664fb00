/**
 * Coordination decisions of a proxy fleet, free of input, output, threads and clocks.
 *
 * <p>All classes receive the current time and their source of randomness as arguments, so that a program can embed
 * them and a test can replay them. Unless documented otherwise, classes with state are not thread-safe: confine each
 * object to one thread.
 */
package org.sardineshunt.coordination;
