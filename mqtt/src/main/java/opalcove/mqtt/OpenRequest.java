package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttQoS;
import io.vertx.mqtt.messages.MqttPublishMessage;
import opalcove.core.RequestDispatcher;
import opalcove.core.Response;

/**
 * A request without a response yet, and the session and packet by which it was delivered last.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class OpenRequest implements RequestDispatcher.ResponseHandler {
    final String id;
    final String responseTopic;
    final byte[] correlation;
    private final OpenRequests requests;
    /** Null before it is dispatched. */
    RequestDispatcher.RequestHandle handle;

    double deadlineMs;
    MqttClientSession session;
    MqttQoS qos;
    int messageId;

    OpenRequest(OpenRequests requests, String id, String responseTopic, byte[] correlation) {
        this.requests = requests;
        this.id = id;
        this.responseTopic = responseTopic;
        this.correlation = correlation;
    }

    /** The response goes to the session that delivered the request last. */
    void onDelivered(MqttClientSession by, MqttPublishMessage message) {
        session = by;
        qos = message.qosLevel();
        messageId = message.messageId();
    }

    @Override
    public void onResponse(Response response) {
        requests.complete(this, response);
    }
}
