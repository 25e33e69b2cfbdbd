package org.filbertrudder.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.filbertrudder.policy.membership.PeerAddress;

/** Translates between this project's terms and the header names of a deployment. */
public interface HttpProtocol {

    /**
     * Reads the head of a caller's request.
     *
     * @throws MalformedRequestException if the head is ambiguous or incomplete
     */
    RequestHead readRequest(MultiMap headers);

    /** Returns the id that a caller has given its request; empty if there is none. */
    Optional<String> requestId(MultiMap headers);

    /** Adds what an endpoint must know about an attempt. */
    void writeAttempt(HttpHeaders headers, AttemptHead attempt);

    /** Reads the head of an endpoint's answer. */
    AnswerHead readAnswer(HttpResponse response);

    /** Names the header that tells a caller when to come back. */
    String retryAfterHeader();

    /** Writes the time after which a caller may come back. */
    String retryAfter(long retryAfterMs);

    /** Names the path of readiness checks. */
    String readinessPath();

    /** Names the path where callers ask which instances to use. */
    String directoryPath();

    /** Reads what a caller tells when it asks which instances to use. */
    DirectoryQuestion readDirectoryQuestion(MultiMap query);

    /** Writes the answer to a caller that asks which instances to use. */
    String directoryAnswer(List<PeerAddress> instances, long validMs);
}
