package opalcove.decision;

/**
 * The part of a backend's usual capacity that new work may take now.
 *
 * @param backend the backend's id in the endpoint list
 * @param share from 0 (nothing) to 1 (all of it)
 */
public record CapacityShare(String backend, double share) {}
