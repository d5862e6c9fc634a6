package opalcove.control.server;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import opalcove.control.xds.ClientVersions;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.ResourceType;
import opalcove.control.xds.XdsStream;
import org.tinylog.Logger;

/**
 * An open stream of a proxy. The latest state is sent whenever the transport is ready; while it is not ready, changes
 * accumulate in the snapshot and no responses are queued.
 *
 * <p>Owned by the thread of the registry's {@link SerialExecutor}; gRPC callbacks submit tasks to it.
 */
final class XdsSession<RequestT, ResponseT> implements StreamObserver<RequestT> {
    private final SessionRegistry registry;
    private final SerialExecutor executor;
    private final XdsVariant<RequestT, ResponseT> variant;
    private final ResourceType onlyType;
    private final ServerCallStreamObserver<ResponseT> responses;
    private ProxyIdentity proxy;
    private XdsStream<RequestT, ResponseT> stream;
    private ScheduledFuture<?> nextCheck;
    private boolean ended;

    /**
     * Opens the session.
     *
     * @param onlyType the only type that this stream serves, or null if it serves all
     */
    XdsSession(
            SessionRegistry registry,
            XdsVariant<RequestT, ResponseT> variant,
            ResourceType onlyType,
            StreamObserver<ResponseT> responses) {
        this.registry = registry;
        executor = registry.executor();
        this.variant = variant;
        this.onlyType = onlyType;
        this.responses = (ServerCallStreamObserver<ResponseT>) responses;
        this.responses.setOnReadyHandler(() -> executor.execute(this::push));
        this.responses.setOnCancelHandler(() -> executor.execute(this::end));
    }

    @Override
    public void onNext(RequestT request) {
        executor.execute(() -> handle(request));
    }

    private void handle(RequestT request) {
        if (ended) {
            return;
        }
        if (stream == null) {
            proxy = ProxyIdentity.from(variant.node().apply(request));
            if (registry.snapshotFor(proxy) == null) {
                reject(Status.PERMISSION_DENIED.withDescription("proxy " + proxy.proxyId() + " is not admitted"));
                return;
            }
            stream = variant.streamFactory().apply(registry.nextNoncePrefix(), proxy);
            registry.add(this);
        }
        String typeUrl = variant.typeUrl().apply(request);
        ResourceType type = typeUrl.isEmpty() ? onlyType : ResourceType.forUrl(typeUrl);
        if (type == null && typeUrl.isEmpty() || onlyType != null && type != onlyType) {
            reject(Status.INVALID_ARGUMENT.withDescription("type " + typeUrl + " is not served on this stream"));
            return;
        }
        if (type == null) {
            // The stream is not rejected, because the proxy's other types would be lost with it.
            Logger.info("proxy {} requests type {}, which is not served", proxy.proxyId(), typeUrl);
            return;
        }
        stream.onRequest(type, request);
        push();
    }

    private void reject(Status status) {
        Logger.warn("stream rejected: {}", status.getDescription());
        responses.onError(status.asRuntimeException());
        end();
    }

    /** Sends the responses that are due if the transport is ready. */
    void push() {
        if (ended || stream == null || !responses.isReady()) {
            return;
        }
        ConfigSnapshot snapshot = registry.snapshotFor(proxy);
        if (snapshot == null) {
            reject(Status.PERMISSION_DENIED.withDescription("proxy " + proxy.proxyId() + " is no longer admitted"));
            return;
        }
        if (snapshot == ConfigSnapshot.EMPTY) {
            // Guards proxies against a service without an endpoint list: a response would remove the resources they
            // have.
            return;
        }
        double nowMs = executor.nowMs();
        stream.nextResponses(snapshot, nowMs).forEach(responses::onNext);
        scheduleNextCheck(nowMs);
    }

    private void scheduleNextCheck(double nowMs) {
        if (nextCheck != null) {
            nextCheck.cancel(false);
            nextCheck = null;
        }
        if (Double.isFinite(stream.nextCheckAtMs())) {
            nextCheck = executor.schedule(stream.nextCheckAtMs() - nowMs, this::push);
        }
    }

    /** Renews lifetimes if the transport is ready; otherwise the proxy would not receive changes either. */
    void renew() {
        if (!ended && stream != null && responses.isReady()) {
            stream.nextRenewals(registry.snapshotFor(proxy), executor.nowMs()).forEach(responses::onNext);
        }
    }

    /** Returns the proxy and its state by type, without the types that it never requested. */
    ConnectedProxy connectedProxy() {
        Map<ResourceType, ClientVersions> versions = new EnumMap<>(ResourceType.class);
        for (ResourceType type : ResourceType.values()) {
            ClientVersions known = stream.clientVersions(type, executor.nowMs());
            if (known != null) {
                versions.put(type, known);
            }
        }
        return new ConnectedProxy(proxy, versions);
    }

    @Override
    public void onError(Throwable cause) {
        executor.execute(this::end);
    }

    @Override
    public void onCompleted() {
        executor.execute(() -> {
            if (!ended) {
                responses.onCompleted();
                end();
            }
        });
    }

    private void end() {
        if (!ended) {
            ended = true;
            if (nextCheck != null) {
                nextCheck.cancel(false);
            }
            registry.remove(this);
        }
    }
}
