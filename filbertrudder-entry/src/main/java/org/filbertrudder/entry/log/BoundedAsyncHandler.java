package org.filbertrudder.entry.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a background thread through a bounded queue, so that logging never blocks the
 * calling thread.
 *
 * <p>Lines that arrive while the queue is full are dropped and counted; the count is written with
 * the next line.
 */
final class BoundedAsyncHandler extends Handler {

    /** Limits the memory of queued lines to about a megabyte. */
    private static final int MAX_QUEUED_LINES = 4_096;

    private static final long FLUSH_TIMEOUT_NS = 500_000_000;

    /** A flush ends early when no line is written for this long, as nobody may be reading. */
    private static final long FLUSH_STALL_NS = 100_000_000;

    private static final long FLUSH_CHECK_INTERVAL_NS = 1_000_000;

    private final BlockingQueue<LogRecord> mQueue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong mDroppedCount = new AtomicLong();
    private final AtomicLong mQueuedCount = new AtomicLong();
    private final AtomicLong mWrittenCount = new AtomicLong();
    private final PrintStream mOut;
    private final Formatter mFormatter;

    BoundedAsyncHandler(PrintStream out, Formatter formatter) {
        mOut = out;
        mFormatter = formatter;
        Thread writer = new Thread(this::writeQueuedLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (mQueue.offer(record)) {
            mQueuedCount.incrementAndGet();
        } else {
            mDroppedCount.incrementAndGet();
        }
    }

    private void writeQueuedLines() {
        try {
            while (true) {
                LogRecord record = mQueue.take();
                StringBuilder lines = new StringBuilder();
                long count = 0;
                while (record != null) {
                    lines.append(mFormatter.format(record));
                    count++;
                    record = mQueue.poll();
                }
                long dropped = mDroppedCount.getAndSet(0);
                if (dropped > 0) {
                    lines.append(mFormatter.format(droppedLines(dropped)));
                }
                mOut.print(lines);
                mOut.flush();
                mWrittenCount.addAndGet(count);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static LogRecord droppedLines(long count) {
        LogRecord record = new LogRecord(Level.WARNING, "log: Lines were dropped.");
        record.setParameters(new Object[] {LogField.of("lines", count)});
        return record;
    }

    @Override
    public void flush() {
        long target = mQueuedCount.get();
        long startNs = System.nanoTime();
        long progressNs = startNs;
        long written = mWrittenCount.get();
        while (written < target
                && System.nanoTime() - startNs < FLUSH_TIMEOUT_NS
                && System.nanoTime() - progressNs < FLUSH_STALL_NS) {
            LockSupport.parkNanos(FLUSH_CHECK_INTERVAL_NS);
            if (mWrittenCount.get() > written) {
                written = mWrittenCount.get();
                progressNs = System.nanoTime();
            }
        }
    }

    @Override
    public void close() {
        flush();
    }
}
