/** Reads the command line and runs the chosen command. */
package org.filbertrudder.app;
