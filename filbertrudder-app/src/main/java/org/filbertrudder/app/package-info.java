/** Command line of the program: parses the arguments and runs the chosen command. */
package org.filbertrudder.app;
