package opalcove.mqtt;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.List;
import opalcove.backend.ConnectionPool;
import opalcove.config.HostAndPort;
import opalcove.decision.DecisionSettings;
import opalcove.decision.LoadMetric;

/**
 * Opens connections to backends that are MQTT 5 servers: connected, and subscribed to the topic of their responses. It uses
 * Netty's codec, since vertx-mqtt's client speaks MQTT 3.1.1 only and sends unacknowledged messages again by itself.
 *
 * <p>Owned by the event loop of its gateway.
 */
public final class MqttConnector implements ConnectionPool.Connector {
    /** Begins the addresses of backends that are MQTT servers. */
    public static final String SCHEME = "mqtt://";

    private final Vertx vertx;
    private final NetClient client;
    private final String name;
    private final long connectTimeoutMs;
    private final List<LoadMetric> metrics;
    private long connectionCount;

    /**
     * Opens connections to backends that speak MQTT.
     *
     * @param name prefix of the client identifiers
     */
    public MqttConnector(Vertx vertx, DecisionSettings settings, String name) {
        this.vertx = vertx;
        this.name = name;
        connectTimeoutMs = (long) Math.max(1, settings.limits().connectTimeoutMs());
        metrics = settings.loadMetrics();
        client = vertx.createNetClient(
                new NetClientOptions().setReconnectAttempts(0).setConnectTimeout((int) connectTimeoutMs));
    }

    @Override
    public Future<ConnectionPool.BackendConnection> connect(String address) {
        HostAndPort backend = HostAndPort.read(address.substring(SCHEME.length()), "address");
        Promise<ConnectionPool.BackendConnection> ready = Promise.promise();
        client.connect(backend.port(), backend.address())
                .onSuccess(socket -> {
                    String clientId = name + "-" + ++connectionCount;
                    MqttBackendConnection connection = new MqttBackendConnection(socket, clientId, metrics, ready);
                    // Guards against a backend that accepts the connection and sends nothing.
                    long timeout = vertx.setTimer(connectTimeoutMs, due -> connection.fail("no reply to the connect"));
                    ready.future().onComplete(done -> vertx.cancelTimer(timeout));
                })
                .onFailure(ready::tryFail);
        return ready.future();
    }
}
