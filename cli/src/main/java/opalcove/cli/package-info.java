/**
 * The command line: one class a command, on picocli. Commands parse options and print; the work is done by the modules below. What a
 * command reports goes to standard output, log lines and errors to standard error.
 */
package opalcove.cli;
