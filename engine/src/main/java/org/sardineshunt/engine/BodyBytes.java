package org.sardineshunt.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;

import com.google.protobuf.ByteOutput;
import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;

/** Converts bodies between arrays and protobuf fields without a copy. Neither side may modify the array. */
public final class BodyBytes {
    private BodyBytes() {}

    /** Returns the array as the value of a field. */
    public static ByteString toField(byte[] bytes) {
        return UnsafeByteOperations.unsafeWrap(bytes);
    }

    /** Returns the bytes of a field: the array in it if it consists of one whole array, else a copy. */
    public static byte[] fromField(ByteString field) {
        ArrayCapture capture = new ArrayCapture();
        try {
            UnsafeByteOperations.unsafeWriteTo(field, capture);
        } catch (IOException unexpected) {
            // The capture throws none.
            throw new UncheckedIOException(unexpected);
        }
        return capture.array == null || capture.parts != 1 ? field.toByteArray() : capture.array;
    }

    private static final class ArrayCapture extends ByteOutput {
        private byte[] array;
        private int parts;

        @Override
        public void write(byte value) {
            parts++;
        }

        @Override
        public void write(byte[] value, int offset, int length) {
            parts++;
        }

        @Override
        public void writeLazy(byte[] value, int offset, int length) {
            parts++;
            if (offset == 0 && length == value.length) {
                array = value;
            }
        }

        @Override
        public void write(ByteBuffer value) {
            parts++;
        }

        @Override
        public void writeLazy(ByteBuffer value) {
            parts++;
        }
    }
}
