package opalcove.mqtt;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.IntegerProperty;
import io.netty.handler.codec.mqtt.MqttProperties.StringProperty;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.vertx.mqtt.MqttEndpoint;
import io.vertx.mqtt.MqttTopicSubscription;
import io.vertx.mqtt.messages.MqttPublishMessage;
import io.vertx.mqtt.messages.MqttSubscribeMessage;
import io.vertx.mqtt.messages.codes.MqttDisconnectReasonCode;
import io.vertx.mqtt.messages.codes.MqttPubAckReasonCode;
import io.vertx.mqtt.messages.codes.MqttSubAckReasonCode;
import java.util.ArrayList;
import java.util.List;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.Response;
import opalcove.decision.Idempotency;
import org.tinylog.Logger;

/**
 * The session of one connected client.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class MqttClientSession {
    /** Maximum packet identifier; identifiers have 16 bits and are not 0. */
    private static final int MAX_MESSAGE_ID = 65_535;

    private final MqttEndpoint connection;
    private final MqttRequestServer server;
    private final OpenRequests requests;
    private final RequestDispatcher dispatcher;
    private final TopicFilters filters = new TopicFilters();
    private int lastMessageId;

    MqttClientSession(
            MqttEndpoint connection, MqttRequestServer server, OpenRequests requests, RequestDispatcher dispatcher) {
        this.connection = connection;
        this.server = server;
        this.requests = requests;
        this.dispatcher = dispatcher;
    }

    String clientId() {
        return connection.clientIdentifier();
    }

    /** Accepts the connection and announces the server's limits and supported features to the client. */
    void open(int maxPacketBytes) {
        connection.publishAutoAck(false);
        connection.publishHandler(this::onPublish);
        connection.subscribeHandler(this::onSubscribe);
        connection.unsubscribeHandler(message -> {
            message.topics().forEach(filters::remove);
            connection.unsubscribeAcknowledge(message.messageId());
        });
        connection.disconnectHandler(disconnected -> connection.close());
        connection.closeHandler(closed -> server.onClosed(this));
        connection.exceptionHandler(e -> disconnect(
                e instanceof TooLongFrameException
                        ? MqttDisconnectReasonCode.PACKET_TOO_LARGE
                        : MqttDisconnectReasonCode.MALFORMED_PACKET));
        MqttProperties connAckProperties = new MqttProperties();
        connAckProperties.add(new IntegerProperty(MqttProperties.MAXIMUM_QOS, 1));
        connAckProperties.add(new IntegerProperty(MqttProperties.RETAIN_AVAILABLE, 0));
        connAckProperties.add(new IntegerProperty(MqttProperties.SHARED_SUBSCRIPTION_AVAILABLE, 0));
        connAckProperties.add(new IntegerProperty(MqttProperties.RECEIVE_MAXIMUM, OpenRequests.MAX_PER_CLIENT));
        connAckProperties.add(new IntegerProperty(MqttProperties.MAXIMUM_PACKET_SIZE, maxPacketBytes));
        connection.accept(false, connAckProperties);
    }

    private void onSubscribe(MqttSubscribeMessage message) {
        List<MqttSubAckReasonCode> codes = new ArrayList<>();
        for (MqttTopicSubscription each : message.topicSubscriptions()) {
            if (!TopicFilters.isValid(each.topicName())) {
                codes.add(MqttSubAckReasonCode.TOPIC_FILTER_INVALID);
            } else {
                filters.add(each.topicName());
                codes.add(
                        each.qualityOfService() == MqttQoS.AT_MOST_ONCE
                                ? MqttSubAckReasonCode.GRANTED_QOS0
                                : MqttSubAckReasonCode.GRANTED_QOS1);
            }
        }
        connection.subscribeAcknowledge(message.messageId(), codes, MqttProperties.NO_PROPERTIES);
    }

    private void onPublish(MqttPublishMessage message) {
        if (message.qosLevel() == MqttQoS.EXACTLY_ONCE) {
            disconnect(MqttDisconnectReasonCode.QOS_NOT_SUPPORTED);
            return;
        }
        String responseTopic = PropertyReader.text(message.properties(), MqttProperties.RESPONSE_TOPIC);
        byte[] correlation = PropertyReader.bytes(message.properties(), MqttProperties.CORRELATION_DATA);
        if (responseTopic == null || correlation == null) {
            reject(
                    message,
                    MqttPubAckReasonCode.PAYLOAD_FORMAT_INVALID,
                    "an ask needs a response topic and correlation data");
        } else if (!filters.matches(responseTopic)) {
            reject(message, MqttPubAckReasonCode.TOPIC_NAME_INVALID, "the response topic is not subscribed to");
        } else {
            onRequest(message, responseTopic, correlation);
        }
    }

    private void onRequest(MqttPublishMessage message, String responseTopic, byte[] correlation) {
        String requestId = RequestMessage.id(connection.clientIdentifier(), correlation);
        OpenRequest inFlight = requests.find(requestId);
        if (inFlight != null) {
            // A redelivery joins the request in flight; otherwise it would be dispatched as a second request.
            inFlight.onDelivered(this, message);
            dispatcher.redeliveryJoined();
            return;
        }
        // Without the DUP flag this is a new request, whose client reuses its correlation data.
        ResponseMessage cached = message.isDup() ? requests.recentResponse(requestId) : null;
        OpenRequest request = new OpenRequest(requests, requestId, responseTopic, correlation);
        request.onDelivered(this, message);
        if (cached != null) {
            dispatcher.redeliveryJoined();
            respond(request, cached);
        } else {
            admit(request, message);
        }
    }

    private void admit(OpenRequest openRequest, MqttPublishMessage message) {
        Request request;
        try {
            request = RequestMessage.read(
                    dispatcher.requestValidator(),
                    openRequest.requestId,
                    message.topicName(),
                    message.properties(),
                    message.payload());
            Idempotency idempotency = dispatcher
                    .requestValidator()
                    .requestClass(request.requestClass())
                    .idempotency();
            if (message.isDup() && idempotency != Idempotency.SAFE) {
                // The backend and the time of the first delivery are no longer known here, so dispatching the request
                // again could apply its effect twice.
                throw new InvalidRequestException("redelivered after its time, it may have had its effect");
            }
        } catch (InvalidRequestException e) {
            respond(openRequest, ResponseMessage.of(new Response.Failed(e.getMessage()), openRequest.correlation));
            return;
        }
        if (requests.hasMaxRequests(this)) {
            disconnect(MqttDisconnectReasonCode.RECEIVE_MAXIMUM_EXCEEDED);
            return;
        }
        requests.dispatch(openRequest, request);
    }

    /**
     * Publishes a response and then acknowledges its request. A client that is not connected receives the response when it
     * delivers its request again.
     */
    void respond(OpenRequest request, ResponseMessage response) {
        if (connection.isConnected()) {
            lastMessageId = lastMessageId % MAX_MESSAGE_ID + 1;
            connection.publish(
                    request.responseTopic,
                    response.payload(),
                    request.qos,
                    false,
                    false,
                    lastMessageId,
                    response.properties());
            if (request.qos == MqttQoS.AT_LEAST_ONCE) {
                connection.publishAcknowledge(
                        request.messageId, MqttPubAckReasonCode.SUCCESS, MqttProperties.NO_PROPERTIES);
            }
            disconnectIfDrained();
        }
    }

    /** Rejects a publication to which no response can be sent; its acknowledgement, for QoS 1, contains the reason. */
    private void reject(MqttPublishMessage message, MqttPubAckReasonCode code, String reason) {
        Logger.debug("publication rejected: {}", reason);
        if (message.qosLevel() == MqttQoS.AT_LEAST_ONCE) {
            MqttProperties properties = new MqttProperties();
            properties.add(new StringProperty(MqttProperties.REASON_STRING, reason));
            connection.publishAcknowledge(message.messageId(), code, properties);
        }
    }

    /** Disconnects during a graceful shutdown if no request of this session is open. */
    void disconnectIfDrained() {
        if (server.isDraining() && requests.hasNoRequests(this)) {
            disconnect(MqttDisconnectReasonCode.SERVER_SHUTTING_DOWN);
        }
    }

    void disconnect(MqttDisconnectReasonCode reason) {
        if (connection.isConnected()) {
            connection.disconnect(reason, MqttProperties.NO_PROPERTIES);
        }
    }
}
