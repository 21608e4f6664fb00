package org.sardineshunt.engine.http;

import java.util.Random;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class BodyBufferTest {
    @Test
    void keepsABodyThatArrivesInOnePartInOneArray() {
        BodyBuffer buffer = new BodyBuffer();
        buffer.append(Unpooled.wrappedBuffer(new byte[20_000]));
        assertThat(buffer.joiningAllocation(), is(0));
        assertThat(buffer.toArray().length, is(20_000));
    }

    /** Guards against bodies in very small chunks that use many times their bytes. */
    @Test
    void usesLittleMoreThanTheBytesOfVerySmallParts() {
        BodyBuffer buffer = new BodyBuffer();
        for (int part = 0; part < 400_000; part++) {
            buffer.append(Unpooled.wrappedBuffer(new byte[1]));
        }
        assertThat(buffer.allocatedBytes(), lessThan(450_000));
    }

    @Property(tries = 100, seed = "77")
    void returnsTheBytesInOrderAndTellsItsAllocations(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body = new byte[random.nextInt(200_000)];
        random.nextBytes(body);
        BodyBuffer buffer = new BodyBuffer();
        int position = 0;
        int allocated = 0;
        while (position < body.length) {
            int length = Math.min(body.length - position, 1 + random.nextInt(random.nextBoolean() ? 10 : 70_000));
            allocated += buffer.allocationFor(length);
            buffer.append(Unpooled.wrappedBuffer(body, position, length));
            position += length;
        }
        assertThat(buffer.size(), is(body.length));
        assertThat(buffer.allocatedBytes(), is(allocated));
        assertThat(buffer.toArray(), is(body));
    }
}
