package opalcove.control.cluster;

import java.util.List;
import opalcove.config.Backend;

/**
 * An update of the endpoint list.
 *
 * @param complete whether the entries are the complete list, so that backends not in it are removed; otherwise they are
 *     changes
 * @param overridesShrinkLimit whether an operator allows this list to remove any number of backends
 * @param backends the entries
 */
public record EndpointUpdate(boolean complete, boolean overridesShrinkLimit, List<Backend> backends) {}
