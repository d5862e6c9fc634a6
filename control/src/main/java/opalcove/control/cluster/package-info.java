/**
 * Computes what proxies see of the backends, without I/O, threads or clocks: the validated endpoint list, the weights
 * that the decision module allows, drains, and a snapshot for each zone built from these.
 */
package opalcove.control.cluster;
