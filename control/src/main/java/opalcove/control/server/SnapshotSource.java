package opalcove.control.server;

import opalcove.control.xds.ConfigSnapshot;

/** What each proxy may see. Called on the thread of the service's {@link SerialExecutor} alone. */
interface SnapshotSource {
    /**
     * The latest snapshot for this proxy.
     *
     * @return null if the proxy is not admitted; {@link ConfigSnapshot#EMPTY} if nothing is known yet and nothing may be sent
     */
    ConfigSnapshot snapshotFor(ProxyIdentity proxy);
}
