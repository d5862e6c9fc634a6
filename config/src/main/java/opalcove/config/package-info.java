/**
 * The written form of settings and endpoint lists: it reads JSON fields by name, type and range, reports every problem
 * by its key, and defines the replicated configuration on which the gateways agree. It depends on neither sockets nor
 * decisions.
 */
package opalcove.config;
