/** Value types shared by all modules: identifiers, inventory entities, rules and changes. */
package org.filbertrudder.model;
