package org.sardineshunt.coordination.account;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class AccountDirectoryTest {
    private static final KeyDigest FIRST_KEY = KeyDigest.of("first key");
    private static final KeyDigest SHARED_KEY = KeyDigest.of("shared key");
    private static final ClientAccount SHOP = account("shop", FIRST_KEY, SHARED_KEY);
    private static final ClientAccount MAIL = account("mail", SHARED_KEY);

    private final AccountDirectory directory = new AccountDirectory(List.of(SHOP, MAIL));

    @Test
    void findsTheAccountOfAKeyAndNoneOfAnUnknownKey() {
        assertThat(directory.find(KeyDigest.of("first key")).orElseThrow(), is(SHOP));
        assertThat(directory.find(KeyDigest.of("first key ")).isEmpty(), is(true));
    }

    /** Nodes that chose differently would refuse each other's attempts as revoked. */
    @Test
    void givesAKeyOfTwoAccountsToTheFirst() {
        assertThat(directory.find(SHARED_KEY).orElseThrow(), is(SHOP));
        assertThat(directory.isKeyOf("shop", SHARED_KEY.fingerprint()), is(true));
        assertThat(directory.isKeyOf("mail", SHARED_KEY.fingerprint()), is(false));
    }

    /** The first 8 bytes of SHA-256 of "abc" by FIPS 180-2; nodes of different builds must agree on fingerprints. */
    @Test
    void takesTheFingerprintFromTheStartOfTheDigest() {
        assertThat(KeyDigest.of("abc").fingerprint(), is(0xba7816bf8f01cfeaL));
    }

    /** A name that ends a header line would let an operator's mistake forge other headers. */
    @Test
    void refusesANameThatIsNoHeaderValue() {
        assertThrows(IllegalArgumentException.class, () -> account("shop\r\nX: y"));
    }

    private static ClientAccount account(String name, KeyDigest... keys) {
        return new ClientAccount(name, OptionalInt.empty(), 0, 0, Set.of(keys));
    }
}
