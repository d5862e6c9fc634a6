/**
 * Plans of a running gateway's endpoint list: what a settings file would change, written to a file for the operators to read, and
 * applied through an HTTP service of the gateway on a loopback address. docs/plan.md has the commands.
 */
package opalcove.plan;
