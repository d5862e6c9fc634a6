package opalcove.control.server;

import opalcove.control.xds.View;

/** What each proxy may see. Asked on the desk's thread alone. */
public interface Views {
    /** The latest view for this proxy; null: it is not admitted; {@link View#EMPTY}: nothing is known yet,
     * and nothing is told. */
    View of(ProxyIdentity proxy);
}
