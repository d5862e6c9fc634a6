package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.mqtt.MqttEndpoint;
import io.vertx.mqtt.MqttServer;
import io.vertx.mqtt.MqttServerOptions;
import io.vertx.mqtt.messages.codes.MqttDisconnectReasonCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Lifecycle;
import org.tinylog.Logger;

/**
 * The MQTT 5 server. A client publishes a request with a response topic and correlation data, and the response is published
 * to that topic. A publication of QoS 1 is acknowledged only after its response was published, so a client that lost its
 * connection delivers it again. The redelivery then joins the request in flight or receives the cached response.
 *
 * <p>Owned by the event loop of its gateway.
 */
public final class MqttRequestServer {
    private static final int MQTT_5 = 5;
    private final Lifecycle lifecycle;
    private final MqttServer server;
    private final RequestDispatcher dispatcher;
    private final OpenRequests requests;
    private final int maxClients;
    /** The sessions by client identifier. */
    private final Map<String, MqttClientSession> sessions = new HashMap<>();

    private Runnable onDrained = () -> {};

    /**
     * Creates a server for the clients of this dispatcher.
     *
     * @param maxClients the maximum number of client connections
     */
    public MqttRequestServer(
            Vertx vertx, RequestDispatcher dispatcher, Lifecycle lifecycle, Clock clock, int maxClients) {
        this.lifecycle = lifecycle;
        this.dispatcher = dispatcher;
        this.maxClients = maxClients;
        requests = new OpenRequests(dispatcher, clock, this::checkDrained);
        server = MqttServer.create(vertx, new MqttServerOptions().setMaxMessageSize(RequestMessage.MAX_PACKET_BYTES));
        server.exceptionHandler(
                e -> Logger.debug("client connection closed before its MQTT CONNECT: {}", e.getMessage()));
        server.endpointHandler(this::accept);
    }

    /** Opens the server. The future completes with the server's port, or fails if the address cannot be bound. */
    public Future<Integer> listen(HostAndPort address) {
        return server.listen(address.port(), address.address()).map(MqttServer::actualPort);
    }

    /**
     * Begins the graceful shutdown. New clients are rejected, and each client is disconnected as soon as none of its requests
     * is open.
     *
     * @param action runs once no session and no request is open
     */
    public void drain(Runnable action) {
        onDrained = action;
        List.copyOf(sessions.values()).forEach(MqttClientSession::disconnectIfDrained);
        checkDrained();
    }

    private void checkDrained() {
        if (isDraining() && sessions.isEmpty() && requests.isEmpty()) {
            server.close();
            onDrained.run();
        }
    }

    boolean isDraining() {
        return lifecycle.current().ordinal() >= Lifecycle.Phase.DRAINING.ordinal();
    }

    private void accept(MqttEndpoint connection) {
        if (connection.protocolVersion() != MQTT_5) {
            connection.reject(MqttConnectReturnCode.CONNECTION_REFUSED_UNACCEPTABLE_PROTOCOL_VERSION);
            return;
        }
        MqttClientSession previous = sessions.get(connection.clientIdentifier());
        if (isDraining() || previous == null && sessions.size() >= maxClients) {
            connection.reject(
                    isDraining()
                            ? MqttConnectReturnCode.CONNECTION_REFUSED_SERVER_UNAVAILABLE_5
                            : MqttConnectReturnCode.CONNECTION_REFUSED_QUOTA_EXCEEDED);
            return;
        }
        if (previous != null) {
            previous.disconnect(MqttDisconnectReasonCode.SESSION_TAKEN_OVER);
        }
        MqttClientSession session = new MqttClientSession(connection, this, requests, dispatcher);
        session.open(RequestMessage.MAX_PACKET_BYTES);
        sessions.put(connection.clientIdentifier(), session);
    }

    void onClosed(MqttClientSession session) {
        sessions.remove(session.clientId(), session);
        requests.onClientDisconnected(session);
        checkDrained();
    }
}
