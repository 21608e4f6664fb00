package org.sardineshunt.coordination.account;

/**
 * What an owner gave for a request of tokens.
 *
 * @param tokens tokens granted, each admits one request
 * @param waitMillis time until the owner has another token; 0 if it granted all that were asked for
 */
public record TokenGrant(int tokens, long waitMillis) {}
