package opalcove.server;

import io.vertx.core.Vertx;
import opalcove.admin.AdminTarget;
import opalcove.cluster.MembershipService;
import opalcove.config.ReplicatedConfig;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Lifecycle;
import opalcove.resp.RespServer;

/**
 * The gateway as administrators see it. Until it is wired the process is starting. Thread-safe: it is read on the admin
 * server's thread, for which the state is published here, and what is changed is changed on the gateway's event loop.
 */
public final class GatewayStatus implements AdminTarget {
    private volatile Lifecycle.Phase phase = Lifecycle.Phase.STARTING;
    private volatile boolean isDrainRequested;
    private Vertx vertx;
    private RequestDispatcher dispatcher;
    private RespServer server;
    private volatile MembershipService membership;
    private volatile ReplicatedConfig replicatedConfig;

    /** Publishes the gateway once it is wired; a drain that was requested before begins. */
    public synchronized void gatewayWired(
            Vertx eventLoop, RequestDispatcher wiredDispatcher, RespServer wiredServer, Lifecycle lifecycle) {
        vertx = eventLoop;
        dispatcher = wiredDispatcher;
        server = wiredServer;
        lifecycle.onChange(next -> phase = next);
        if (isDrainRequested) {
            vertx.runOnContext(run -> server.setDrainRequested(true));
        }
    }

    /** Sets the part of the cluster; null where membership is off. */
    void setMembership(MembershipService service) {
        membership = service;
    }

    /** Sets the replicated configuration; null where it is off. */
    void setReplicatedConfig(ReplicatedConfig config) {
        replicatedConfig = config;
    }

    @Override
    public String notReady() {
        if (phase != Lifecycle.Phase.SERVING) {
            return phase.displayName();
        }
        return isDrainRequested ? "clients are sent away" : null;
    }

    @Override
    public synchronized String metrics() {
        return (dispatcher == null ? "" : dispatcher.metrics().statsdLines())
                + (membership == null ? "" : membership.figures())
                + (replicatedConfig == null ? "" : replicatedConfig.figures());
    }

    @Override
    public String members() {
        return membership == null ? null : membership.memberList();
    }

    @Override
    public synchronized void setDrainRequested(boolean requested) {
        isDrainRequested = requested;
        if (vertx != null) {
            vertx.runOnContext(run -> server.setDrainRequested(requested));
        }
    }
}
