package opalcove.control.cluster;

import java.util.List;
import opalcove.config.Backend;

/**
 * An update of the endpoint list.
 *
 * @param complete whether the entries are the complete list, so that what it lacks is gone; otherwise they are changes
 * @param overridesShrinkLimit whether the operators let this list remove however many backends it lacks
 * @param backends the entries
 */
public record EndpointUpdate(boolean complete, boolean overridesShrinkLimit, List<Backend> backends) {}
