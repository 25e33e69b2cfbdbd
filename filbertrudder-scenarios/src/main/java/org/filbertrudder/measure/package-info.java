/** Runs small seeded experiments and prints their figures. */
package org.filbertrudder.measure;
