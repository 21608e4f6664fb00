package org.sardineshunt.engine.http;

import java.util.ArrayDeque;
import java.util.Deque;

import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;

/**
 * Passes a body from a source to a sink while it arrives. The source must stop while {@link #hasRoom} is false, so that
 * about {@link #WINDOW_BYTES} are buffered at most.
 *
 * <p>A sink may be replaced by another one as long as nothing was read. Thread-safe; the methods of a source and a sink
 * are called on the thread that caused the event, without any lock.
 */
public final class BodyPipe {
    /** Bytes beyond which the source must stop. */
    public static final int WINDOW_BYTES = 256 << 10;

    private final MemoryBudget.Holder holder;
    private final Source source;
    private final Deque<byte[]> parts = new ArrayDeque<>();
    private Runnable onReadable = () -> {};
    private long bufferedBytes;
    private boolean touched;
    private boolean ended;
    private boolean cancelled;
    private String failure;

    /**
     * Creates an empty pipe.
     *
     * @param memory memory for the buffered bytes; the pipe fails if they are needed for others
     */
    public BodyPipe(MemoryBudget memory, Source source) {
        this.source = source;
        holder = memory.open(Kind.STREAM, LoopRunner.nowMillis(), () -> fail("memory is short"));
    }

    /** Adds the next part; ignored after the end. The array must not be modified afterwards. */
    public void write(byte[] part) {
        if (part.length == 0) {
            return;
        }
        if (!holder.tryReserve(LoopRunner.nowMillis(), part.length)) {
            fail("memory is short");
            return;
        }
        Runnable notification;
        synchronized (this) {
            if (isOver()) {
                holder.release(LoopRunner.nowMillis(), part.length);
                return;
            }
            parts.add(part);
            bufferedBytes += part.length;
            notification = onReadable;
        }
        notification.run();
    }

    /** Marks the body as complete. */
    public void end() {
        Runnable notification;
        synchronized (this) {
            if (isOver()) {
                return;
            }
            ended = true;
            notification = onReadable;
        }
        notification.run();
    }

    /** Drops what is buffered, because the rest of the body will never arrive; ignored after the end. */
    public void fail(String cause) {
        Runnable notification;
        synchronized (this) {
            if (failure != null || cancelled || ended && parts.isEmpty()) {
                return;
            }
            failure = cause;
            clear();
            notification = onReadable;
        }
        holder.close();
        notification.run();
    }

    /** Drops the body, because the sink needs no more of it. */
    public void cancel() {
        synchronized (this) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            onReadable = () -> {};
            clear();
        }
        holder.close();
        source.cancelled();
    }

    /** Sets the action that is run whenever there may be something to read; run at once as well. */
    public void attach(Runnable newOnReadable) {
        synchronized (this) {
            onReadable = newOnReadable;
        }
        source.attached();
        newOnReadable.run();
    }

    /** Removes the sink; another one may be attached if nothing was read. */
    public synchronized void detach() {
        onReadable = () -> {};
    }

    /** Returns the next part and removes it; null if there is none at the moment. */
    public byte[] read() {
        byte[] part;
        synchronized (this) {
            part = parts.poll();
            if (part == null) {
                return null;
            }
            touched = true;
            bufferedBytes -= part.length;
        }
        holder.release(LoopRunner.nowMillis(), part.length);
        source.consumed(part.length);
        return part;
    }

    /** Returns whether the source may write another part. */
    public synchronized boolean hasRoom() {
        return bufferedBytes < WINDOW_BYTES || isOver();
    }

    /** Returns whether a sink has read something. */
    public synchronized boolean isTouched() {
        return touched;
    }

    /** Returns whether the source has marked the body as complete. */
    public synchronized boolean isComplete() {
        return ended && failure == null;
    }

    /** Returns whether the body is complete and was read to its end. */
    public synchronized boolean isReadToEnd() {
        return ended && failure == null && parts.isEmpty() && !cancelled;
    }

    /** Returns why the body will never be complete; null if it may be. */
    public synchronized String failure() {
        return failure;
    }

    /** Returns whether the sink needs no more of the body. */
    public synchronized boolean isCancelled() {
        return cancelled;
    }

    private boolean isOver() {
        return ended || cancelled || failure != null;
    }

    private void clear() {
        parts.clear();
        bufferedBytes = 0;
    }

    /** Where a body comes from. */
    public interface Source {
        /** Called when a sink is attached. */
        default void attached() {}

        /** Called when a sink has read this many bytes. */
        void consumed(int bytes);

        /** Called when the sink needs no more of the body. */
        void cancelled();
    }
}
