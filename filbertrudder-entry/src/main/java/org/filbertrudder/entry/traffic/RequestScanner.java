package org.filbertrudder.entry.traffic;

import io.netty.buffer.ByteBuf;

/**
 * Follows the bytes of the requests on one connection and measures their heads and trailers.
 *
 * <p>The framing of a body comes from the parser, which sees the same bytes behind this class.
 */
public final class RequestScanner {

    private static final int HEXADECIMAL = 16;

    /** Longer chunk sizes exceed any limit on bodies. */
    private static final long MAX_CHUNK_BYTES = Long.MAX_VALUE / (2 * HEXADECIMAL);

    private enum Part {
        EMPTY_LINES,
        REQUEST_LINE,
        FIELDS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private Part mPart = Part.EMPTY_LINES;
    private long mEmptyBytes;
    private long mLineBytes;
    private long mFieldBytes;
    private long mLines;
    private boolean mHasRequestLine;
    private boolean mIsLineEmpty;
    private long mRestBytes;
    private boolean mIsSizeRead;

    /** Returns whether the next byte is the first one of a head. */
    public boolean isBetweenRequests() {
        return mPart == Part.EMPTY_LINES;
    }

    /** Returns what has been received of the current head. */
    public HeadSize size() {
        return new HeadSize(mEmptyBytes, mLineBytes, mFieldBytes, mLines, mHasRequestLine);
    }

    /**
     * Scans received bytes without reading them.
     *
     * @return how many bytes belong together: up to the end of a head or a body, where the framing
     *     is to be set, or all of them
     */
    public int scan(ByteBuf bytes) {
        int index = bytes.readerIndex();
        while (index < bytes.writerIndex()) {
            if (mPart == Part.BODY || mPart == Part.CHUNK) {
                index += skipBody(bytes.writerIndex() - index);
                if (mPart == Part.EMPTY_LINES) {
                    break;
                }
            } else if (scan(bytes.getByte(index++))) {
                break;
            }
        }
        return index - bytes.readerIndex();
    }

    private int skipBody(int available) {
        int skipped = (int) Math.min(available, mRestBytes);
        mRestBytes -= skipped;
        if (mRestBytes == 0) {
            mPart = mPart == Part.BODY ? Part.EMPTY_LINES : Part.CHUNK_END;
        }
        return skipped;
    }

    /** Scans a byte; returns whether it ends a head or the trailers. */
    private boolean scan(byte next) {
        switch (mPart) {
            case EMPTY_LINES -> scanEmptyLine(next);
            case REQUEST_LINE -> scanRequestLine(next);
            case CHUNK_SIZE -> scanChunkSize(next);
            case CHUNK_END -> {
                if (next == '\n') {
                    beginChunkSize();
                }
            }
            default -> {
                return scanField(next);
            }
        }
        return false;
    }

    private void scanEmptyLine(byte next) {
        // The parser skips control characters and spaces before a request.
        if (next >= 0 && (Character.isISOControl(next) || Character.isWhitespace(next))) {
            mEmptyBytes++;
            return;
        }
        mPart = Part.REQUEST_LINE;
        mLines++;
        scanRequestLine(next);
    }

    private void scanRequestLine(byte next) {
        mLineBytes++;
        if (next == '\n') {
            mHasRequestLine = true;
            mPart = Part.FIELDS;
            mIsLineEmpty = true;
        }
    }

    private boolean scanField(byte next) {
        mFieldBytes++;
        if (next == '\n') {
            boolean ends = mIsLineEmpty;
            mIsLineEmpty = true;
            return ends;
        }
        if (mIsLineEmpty && next != '\r') {
            mIsLineEmpty = false;
            mLines++;
        }
        return false;
    }

    private void beginChunkSize() {
        mPart = Part.CHUNK_SIZE;
        mRestBytes = 0;
        mIsSizeRead = false;
    }

    private void scanChunkSize(byte next) {
        if (next == '\n') {
            mPart = mRestBytes > 0 ? Part.CHUNK : Part.TRAILERS;
            mIsLineEmpty = true;
            return;
        }
        int digit = Character.digit(next, HEXADECIMAL);
        mIsSizeRead = mIsSizeRead || next == ';';
        if (digit >= 0 && !mIsSizeRead) {
            mRestBytes = Math.min(MAX_CHUNK_BYTES, mRestBytes * HEXADECIMAL + digit);
        }
    }

    /** Sets the framing of the body of the head that has ended to a number of bytes. */
    public void bodyFollows(long bytes) {
        mPart = Part.BODY;
        mRestBytes = bytes;
    }

    /** Sets the framing of the body of the head that has ended to chunks. */
    public void chunksFollow() {
        beginChunkSize();
    }

    /** Begins the next request. */
    public void requestEnded() {
        mPart = Part.EMPTY_LINES;
    }

    /** Forgets the sizes of a request that has ended. */
    public void resetSize() {
        mEmptyBytes = 0;
        mLineBytes = 0;
        mFieldBytes = 0;
        mLines = 0;
        mHasRequestLine = false;
    }
}
