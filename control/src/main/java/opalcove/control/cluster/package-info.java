/**
 * What proxies are to see of the backends, decided without I/O, threads or clocks: the endpoint list as far as it is trusted, the
 * weights that the decision module allows, drains, and from these a snapshot for each zone.
 */
package opalcove.control.cluster;
