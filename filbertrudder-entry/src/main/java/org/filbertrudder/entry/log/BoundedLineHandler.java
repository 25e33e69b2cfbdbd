package org.filbertrudder.entry.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own and never blocks the threads that log.
 *
 * <p>Lines that come faster than they can be written are dropped and counted; the count is written
 * with the next line.
 */
final class BoundedLineHandler extends Handler {

    /** Bounds the memory of waiting lines; about a megabyte. */
    private static final int MAX_WAITING_LINES = 4_096;

    private static final long FLUSH_TIMEOUT_MS = 500;

    private final BlockingQueue<LogRecord> mWaiting = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
    private final AtomicLong mDropped = new AtomicLong();
    private final AtomicLong mAccepted = new AtomicLong();
    private final AtomicLong mWritten = new AtomicLong();
    private final PrintStream mOut;
    private final Formatter mFormatter;

    BoundedLineHandler(PrintStream out, Formatter formatter) {
        mOut = out;
        mFormatter = formatter;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (mWaiting.offer(record)) {
            mAccepted.incrementAndGet();
        } else {
            mDropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (true) {
                LogRecord record = mWaiting.take();
                StringBuilder lines = new StringBuilder();
                long count = 0;
                while (record != null) {
                    lines.append(mFormatter.format(record));
                    count++;
                    record = mWaiting.poll();
                }
                long dropped = mDropped.getAndSet(0);
                if (dropped > 0) {
                    lines.append("{\"message\":\"log: Lines were dropped.\",\"lines\":");
                    lines.append(dropped).append("}\n");
                }
                mOut.print(lines);
                mOut.flush();
                mWritten.addAndGet(count);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void flush() {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MS);
        while (mWritten.get() < mAccepted.get() && System.nanoTime() < untilNs) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        flush();
    }
}
