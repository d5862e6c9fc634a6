package opalcove.control.server;

import opalcove.control.xds.ConfigSnapshot;

/** What each proxy may see. Asked on the desk's thread alone. */
public interface SnapshotSource {
    /** The latest view for this proxy; null: it is not admitted; {@link ConfigSnapshot#EMPTY}: nothing is known yet,
     * and nothing is told. */
    ConfigSnapshot of(ProxyIdentity proxy);
}
