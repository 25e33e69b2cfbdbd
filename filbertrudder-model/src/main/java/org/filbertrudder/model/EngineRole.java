package org.filbertrudder.model;

/** Lists the parts of a request that a model engine can run. */
public enum EngineRole {
    /** Reads prompts and exports their cache. */
    PREFILL,
    /** Writes answers from an imported cache. */
    DECODE,
    /** Does both. */
    BOTH
}
