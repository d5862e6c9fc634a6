package opalcove.mqtt;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.List;
import opalcove.backend.BackendConnection;
import opalcove.backend.Connector;
import opalcove.config.HostAndPort;
import opalcove.decision.DecisionSettings;
import opalcove.decision.LoadMetric;

/**
 * Opens connections to backends that are MQTT 5 servers. A connection is ready once it is subscribed to the topic of its
 * responses. It uses Netty's codec, since the client of vertx-mqtt supports only MQTT 3.1.1 and retransmits
 * unacknowledged messages by itself.
 *
 * <p>Owned by the event loop of its gateway.
 */
public final class MqttConnector implements Connector {
    /** Prefix of the addresses of backends that are MQTT servers. */
    public static final String SCHEME = "mqtt://";

    private final Vertx vertx;
    private final NetClient client;
    private final String name;
    private final long connectTimeoutMs;
    private final List<LoadMetric> metrics;
    private long connectionCount;

    /**
     * Creates a connector.
     *
     * @param name the prefix of the client identifiers
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
    public Future<BackendConnection> connect(String address) {
        HostAndPort backend = HostAndPort.parse(address.substring(SCHEME.length()), "address");
        Promise<BackendConnection> ready = Promise.promise();
        client.connect(backend.port(), backend.address())
                .onSuccess(socket -> {
                    String clientId = name + "-" + ++connectionCount;
                    MqttBackendConnection connection = new MqttBackendConnection(socket, clientId, metrics, ready);
                    // Without this timeout, connecting to a backend that accepts the connection and sends nothing
                    // would never end.
                    long timeout = vertx.setTimer(
                            connectTimeoutMs,
                            due -> connection.fail("no CONNACK and SUBACK within the connect timeout"));
                    ready.future().onComplete(done -> vertx.cancelTimer(timeout));
                })
                .onFailure(ready::tryFail);
        return ready.future();
    }
}
