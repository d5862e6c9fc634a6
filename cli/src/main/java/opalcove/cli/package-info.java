/**
 * The command line, with one picocli class per command. Commands parse options and print results; the modules below do
 * the work. Results go to standard output, log lines and errors to standard error.
 */
package opalcove.cli;
