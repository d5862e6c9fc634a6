package opalcove.control.server;

import opalcove.control.xds.ConfigSnapshot;

/** Supplies the snapshots for proxies. Called only on the thread of the service's {@link SerialExecutor}. */
interface SnapshotSource {
    /**
     * Returns the latest snapshot for a proxy.
     *
     * @return null if the proxy is not admitted; {@link ConfigSnapshot#EMPTY} if no endpoint list is known yet and
     *     nothing may be sent
     */
    ConfigSnapshot snapshotFor(ProxyIdentity proxy);
}
