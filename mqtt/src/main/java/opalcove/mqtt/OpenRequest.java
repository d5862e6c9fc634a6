package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttQoS;
import io.vertx.mqtt.messages.MqttPublishMessage;
import opalcove.core.RequestHandle;
import opalcove.core.Response;
import opalcove.core.ResponseHandler;

/**
 * A request that has no response yet, with the session and packet of its last delivery.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class OpenRequest implements ResponseHandler {
    final String requestId;
    final String responseTopic;
    final byte[] correlation;
    private final OpenRequests requests;
    /** Handle of the dispatched request; null before it is dispatched. */
    RequestHandle handle;

    double deadlineMs;
    MqttClientSession session;
    MqttQoS qos;
    int messageId;

    OpenRequest(OpenRequests requests, String requestId, String responseTopic, byte[] correlation) {
        this.requests = requests;
        this.requestId = requestId;
        this.responseTopic = responseTopic;
        this.correlation = correlation;
    }

    /** Records the last delivery of the request; the response goes to the session of this delivery. */
    void onDelivered(MqttClientSession deliveredBy, MqttPublishMessage message) {
        session = deliveredBy;
        qos = message.qosLevel();
        messageId = message.messageId();
    }

    @Override
    public void onResponse(Response response) {
        requests.complete(this, response);
    }
}
