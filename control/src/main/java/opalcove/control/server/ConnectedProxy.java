package opalcove.control.server;

import java.util.Map;
import opalcove.control.xds.ClientVersions;
import opalcove.control.xds.ResourceType;

/**
 * A proxy on an open stream.
 *
 * @param identity the proxy
 * @param versions sent and acknowledged state, by type; without the types that the proxy never requested on the stream
 */
record ConnectedProxy(ProxyIdentity identity, Map<ResourceType, ClientVersions> versions) {}
