package org.filbertrudder.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Translates between request and response heads and the header names, paths and formats of a
 * deployment.
 */
public interface HttpProtocol {

    /**
     * Reads the head of a caller's request.
     *
     * @throws MalformedRequestException if the head is ambiguous or incomplete
     */
    RequestHead readRequest(MultiMap headers);

    /** Returns the id that the caller assigned to its request; empty if there is none. */
    Optional<String> readRequestId(MultiMap headers);

    /** Adds the metadata of an attempt to the headers of its request to an endpoint. */
    void writeAttemptHeaders(HttpHeaders headers, AttemptMetadata attempt);

    /** Reads the head of an endpoint's response. */
    ResponseHead readResponse(HttpResponse response);

    /** Returns the name of the header that tells a caller when to retry. */
    String retryAfterHeaderName();

    /** Formats the time after which a caller may retry. */
    String formatRetryAfter(long retryAfterMs);

    /** Returns the path of readiness checks. */
    String readinessPath();

    /** Returns the path of the directory, where callers look up the instances to use. */
    String directoryPath();

    /** Reads the query parameters of a directory lookup. */
    DirectoryQuery readDirectoryQuery(MultiMap query);

    /** Formats the response to a directory lookup. */
    String formatDirectoryResponse(List<PeerAddress> instances, long validMs);
}
