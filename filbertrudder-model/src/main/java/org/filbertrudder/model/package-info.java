/**
 * Immutable value types of the configuration: identifiers, entities, rules, changes and validation.
 */
package org.filbertrudder.model;
