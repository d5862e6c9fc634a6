package opalcove.control.server;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.ScheduledFuture;
import opalcove.control.xds.ClientVersions;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.ResourceType;
import opalcove.control.xds.XdsStream;
import org.tinylog.Logger;

/**
 * One open stream of a proxy. It is told the latest state whenever its transport takes more; while that is full, changes come
 * together in the view, and nothing is queued. All of it runs on the desk.
 */
final class XdsSession<Q, R> implements StreamObserver<Q> {
    private final SessionRegistry sessions;
    private final XdsVariant<Q, R> variant;
    private final ResourceType only;
    private final ServerCallStreamObserver<R> out;
    private ProxyIdentity proxy;
    private XdsStream<Q, R> stream;
    private ScheduledFuture<?> look;
    private boolean ended;

    /** Only: the type that this stream serves, or null for all. */
    XdsSession(SessionRegistry sessions, XdsVariant<Q, R> variant, ResourceType only, StreamObserver<R> out) {
        this.sessions = sessions;
        this.variant = variant;
        this.only = only;
        this.out = (ServerCallStreamObserver<R>) out;
        this.out.setOnReadyHandler(() -> sessions.desk().execute(this::tell));
        this.out.setOnCancelHandler(() -> sessions.desk().execute(this::ended));
    }

    @Override
    public void onNext(Q request) {
        sessions.desk().execute(() -> request(request));
    }

    private void request(Q request) {
        if (ended) {
            return;
        }
        if (stream == null) {
            proxy = ProxyIdentity.of(variant.node().apply(request));
            if (sessions.views().of(proxy) == null) {
                refuse(Status.PERMISSION_DENIED.withDescription("proxy " + proxy.id() + " is not admitted"));
                return;
            }
            stream = variant.stream().apply(sessions.noncePrefix(), proxy);
            sessions.opened(this);
        }
        String url = variant.typeUrl().apply(request);
        ResourceType type = url.isEmpty() ? only : ResourceType.of(url);
        if (type == null && url.isEmpty() || only != null && type != only) {
            refuse(Status.INVALID_ARGUMENT.withDescription("type " + url + " is not served on this stream"));
            return;
        }
        if (type == null) {
            // Not refused: the proxy's other types would be lost with the stream.
            Logger.info("proxy {} asks for {}, which is not served", proxy.id(), url);
            return;
        }
        stream.request(type, request);
        tell();
    }

    private void refuse(Status status) {
        Logger.warn("a stream is refused: {}", status.getDescription());
        out.onError(status.asRuntimeException());
        ended();
    }

    /** Tells what is due, as far as the transport takes it. */
    void tell() {
        if (ended || stream == null || !out.isReady()) {
            return;
        }
        ConfigSnapshot view = sessions.views().of(proxy);
        if (view == null) {
            refuse(Status.PERMISSION_DENIED.withDescription("proxy " + proxy.id() + " is no longer admitted"));
            return;
        }
        if (view == ConfigSnapshot.EMPTY) {
            // Guards proxies against a service that knows nothing yet: an answer would take away what they have.
            return;
        }
        double now = sessions.desk().now();
        stream.due(view, now).forEach(out::onNext);
        lookAgain(now);
    }

    private void lookAgain(double now) {
        if (look != null) {
            look.cancel(false);
            look = null;
        }
        if (Double.isFinite(stream.lookAgainAt())) {
            look = sessions.desk().in(stream.lookAgainAt() - now, this::tell);
        }
    }

    /** Renews lifetimes; a proxy whose transport is full is not renewed, as it would not hear of changes either. */
    void renew() {
        if (!ended && stream != null && out.isReady()) {
            stream.renewals(sessions.views().of(proxy), sessions.desk().now()).forEach(out::onNext);
        }
    }

    ProxyIdentity proxy() {
        return proxy;
    }

    ClientVersions knowledge(ResourceType type) {
        return stream.knowledge(type, sessions.desk().now());
    }

    @Override
    public void onError(Throwable cause) {
        sessions.desk().execute(this::ended);
    }

    @Override
    public void onCompleted() {
        sessions.desk().execute(() -> {
            if (!ended) {
                out.onCompleted();
                ended();
            }
        });
    }

    private void ended() {
        if (!ended) {
            ended = true;
            if (look != null) {
                look.cancel(false);
            }
            sessions.closed(this);
        }
    }
}
