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
 * One client's connection.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class MqttClientSession {
    /** Packet identifiers are 16 bits and not 0. */
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

    /** Accepts the connection, with what this server offers. */
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
        MqttProperties offer = new MqttProperties();
        offer.add(new IntegerProperty(MqttProperties.MAXIMUM_QOS, 1));
        offer.add(new IntegerProperty(MqttProperties.RETAIN_AVAILABLE, 0));
        offer.add(new IntegerProperty(MqttProperties.SHARED_SUBSCRIPTION_AVAILABLE, 0));
        offer.add(new IntegerProperty(MqttProperties.RECEIVE_MAXIMUM, OpenRequests.MAX_PER_CLIENT));
        offer.add(new IntegerProperty(MqttProperties.MAXIMUM_PACKET_SIZE, maxPacketBytes));
        connection.accept(false, offer);
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
            // Guards against a redelivery becoming a second request: it joins the one in flight.
            inFlight.onDelivered(this, message);
            dispatcher.redeliveryJoined();
            return;
        }
        // Without DUP it is a new request, whose client merely uses its correlation data again.
        ResponseMessage given = message.isDup() ? requests.recentResponse(requestId) : null;
        OpenRequest opened = new OpenRequest(requests, requestId, responseTopic, correlation);
        opened.onDelivered(this, message);
        if (given != null) {
            dispatcher.redeliveryJoined();
            respond(opened, given);
        } else {
            admit(opened, message);
        }
    }

    private void admit(OpenRequest opened, MqttPublishMessage message) {
        Request request;
        try {
            request = RequestMessage.read(
                    dispatcher.requestValidator(),
                    opened.requestId,
                    message.topicName(),
                    message.properties(),
                    message.payload());
            Idempotency idempotency = dispatcher
                    .requestValidator()
                    .requestClass(request.requestClass())
                    .idempotency();
            if (message.isDup() && idempotency != Idempotency.SAFE) {
                // Guards against a second effect: where the first delivery went, and when, is no longer known here.
                throw new InvalidRequestException("redelivered after its time, it may have had its effect");
            }
        } catch (InvalidRequestException e) {
            respond(opened, ResponseMessage.of(new Response.Failed(e.getMessage()), opened.correlation));
            return;
        }
        if (requests.hasMaxRequests(this)) {
            disconnect(MqttDisconnectReasonCode.RECEIVE_MAXIMUM_EXCEEDED);
            return;
        }
        requests.dispatch(opened, request);
    }

    /**
     * Publishes a response and then acknowledges its request. A client that is not connected gets the response by delivering its
     * request again.
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

    /** Rejects a publication that cannot get a response: its acknowledgement says why. */
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
