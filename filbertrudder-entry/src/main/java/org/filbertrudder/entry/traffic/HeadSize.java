package org.filbertrudder.entry.traffic;

/**
 * Holds what has been received of a head and of the trailers of the same request.
 *
 * @param emptyBytes the bytes of empty lines before the request line
 * @param lineBytes the bytes of the request line
 * @param fieldBytes the bytes of header lines and trailers, with their line ends
 * @param lines the number of lines, incomplete ones included
 * @param hasRequestLine whether the request line is whole
 */
public record HeadSize(
        long emptyBytes, long lineBytes, long fieldBytes, long lines, boolean hasRequestLine) {}
