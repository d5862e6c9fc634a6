package opalcove.server;

import io.vertx.core.Vertx;
import opalcove.admin.AdminTarget;
import opalcove.cluster.MembershipService;
import opalcove.config.ReplicatedConfig;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Lifecycle;
import opalcove.resp.RespServer;

/**
 * The state of the gateway for the admin server. It is {@code STARTING} until the gateway is wired. Thread-safe: the
 * admin server's thread reads the state that is published here, and all changes to the gateway run on its event loop.
 */
public final class GatewayStatus implements AdminTarget {
    private volatile Lifecycle.Phase phase = Lifecycle.Phase.STARTING;
    private volatile boolean isDrainRequested;
    private Vertx vertx;
    private RequestDispatcher dispatcher;
    private RespServer server;
    private volatile MembershipService membership;
    private volatile ReplicatedConfig replicatedConfig;

    /** Publishes the gateway once it is wired; if a drain was requested before, it begins now. */
    public synchronized void gatewayWired(
            Vertx eventLoop, RequestDispatcher wiredDispatcher, RespServer wiredServer, Lifecycle lifecycle) {
        vertx = eventLoop;
        dispatcher = wiredDispatcher;
        server = wiredServer;
        lifecycle.onChange(newPhase -> phase = newPhase);
        if (isDrainRequested) {
            vertx.runOnContext(run -> server.setDrainRequested(true));
        }
    }

    /** Sets the membership service; null if membership is off. */
    void setMembership(MembershipService service) {
        membership = service;
    }

    /** Sets the replicated configuration; null if it is off. */
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
