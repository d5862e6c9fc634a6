/**
 * Settings and endpoint lists as they are written: reading JSON by name, type and range, with every problem reported by its
 * key, and the form in which gateways agree on them. Knows neither sockets nor decisions.
 */
package opalcove.config;
