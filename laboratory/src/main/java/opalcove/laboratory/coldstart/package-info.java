/**
 * A model of slow starts in virtual time. Many gateways, each with its own decision module that does not communicate
 * with the others, send requests to newly started backends. The requests that each backend receives during its slow
 * start are compared with the limit that it withstands.
 */
package opalcove.laboratory.coldstart;
