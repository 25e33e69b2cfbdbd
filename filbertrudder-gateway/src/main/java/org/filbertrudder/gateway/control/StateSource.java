package org.filbertrudder.gateway.control;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.filbertrudder.gateway.config.EndpointRegistration;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.store.StoreCallCounts;

/**
 * Reads the operators' state and the registered endpoints and instances from the store, and
 * registers this instance there.
 */
public interface StateSource {

    /**
     * Reads the operators' state with a linearizable call.
     *
     * @param lastState the last state that the caller received; returned again if nothing has
     *     changed
     */
    Uni<OperatorState> readOperatorState(OperatorState lastState);

    /**
     * Decodes a configuration document in the format that operators write.
     *
     * @throws org.filbertrudder.model.InvalidValueException if the document is not a valid
     *     configuration
     */
    GatewayConfiguration decodeConfiguration(String document);

    /** Reads the current registrations of all endpoints. */
    Uni<EndpointListing> readEndpoints();

    /** Decodes the registration of an endpoint; empty if the registration is not usable. */
    Optional<EndpointRegistration> decodeEndpoint(String id, String registration);

    /** Registers this instance under a lease, or renews the lease of an earlier registration. */
    Uni<Void> register(Member self);

    /** Removes the registration of this instance. */
    Uni<Void> unregister();

    /** Reads the registered instances; the result may be seconds old. */
    Uni<List<Member>> readInstances();

    /** Reads the prompt parts that were blocked, with their age by the wall clock. */
    Uni<List<PartEvidence>> readBlockedParts();

    /** Stores a blocked prompt part. */
    Uni<Void> writeBlockedPart(PartEvidence evidence);

    /** Deletes a stored prompt part. */
    Uni<Void> deleteBlockedPart(String part);

    /** Reads the records of refused requests, with their age by the wall clock. */
    Uni<StoredCrashRecords> readCrashRecords();

    /**
     * Replaces the stored records, if their revision is still the given one; otherwise returns what
     * is stored instead.
     */
    Uni<StoredCrashRecords> writeCrashRecords(List<CrashRecord> records, long revision);

    /** Returns the newest era of the store that a response has reported. */
    StoreEra era();

    /** Returns the number of calls to the store since the start. */
    StoreCallCounts calls();
}
