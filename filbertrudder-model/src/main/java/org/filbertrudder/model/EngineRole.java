package org.filbertrudder.model;

/** Lists the inference phases that a model engine can be assigned. */
public enum EngineRole {
    /** Processes prompts and exports their KV cache. */
    PREFILL,
    /** Generates tokens from an imported KV cache. */
    DECODE,
    /** Executes both phases on the same engine. */
    BOTH
}
