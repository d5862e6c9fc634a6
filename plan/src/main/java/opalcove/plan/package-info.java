/**
 * Plans for the endpoint list of a running gateway: the changes from a settings file are written to a file for
 * operators to review and applied through an HTTP service of the gateway on a loopback address. docs/plan.md describes
 * the commands.
 */
package opalcove.plan;
