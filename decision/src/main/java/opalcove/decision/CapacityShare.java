package opalcove.decision;

/**
 * The share of a backend's usual capacity that new work may use now.
 *
 * @param backend the backend's id in the endpoint list
 * @param share the share, from 0 (none) to 1 (all)
 */
public record CapacityShare(String backend, double share) {}
