package opalcove.mqtt;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.IntegerProperty;
import io.netty.handler.codec.mqtt.MqttProperties.StringProperty;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.mqtt.MqttEndpoint;
import io.vertx.mqtt.MqttServer;
import io.vertx.mqtt.MqttServerOptions;
import io.vertx.mqtt.MqttTopicSubscription;
import io.vertx.mqtt.messages.MqttPublishMessage;
import io.vertx.mqtt.messages.MqttSubscribeMessage;
import io.vertx.mqtt.messages.codes.MqttDisconnectReasonCode;
import io.vertx.mqtt.messages.codes.MqttPubAckReasonCode;
import io.vertx.mqtt.messages.codes.MqttSubAckReasonCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.RequestHandle;
import opalcove.core.Response;
import opalcove.core.ResponseHandler;
import opalcove.decision.Idempotency;
import opalcove.lifecycle.Lifecycle;
import org.tinylog.Logger;

/**
 * The MQTT 5 front. A terminal publishes an ask with a response topic and correlation data and gets its answer there.
 * A publication of QoS 1 is acknowledged once its answer is published, so a terminal that lost its connection delivers
 * it again: it then joins the request under way, or gets the answer that was given.
 */
public final class MqttRequestServer {
    /** Unacknowledged asks of one terminal; told to it at its connect. */
    private static final int MOST_OPEN = 64;

    private static final int MOST_PACKET = RequestMessage.MOST_BODY + 8 * 1024;

    private final RequestDispatcher gateway;
    private final Lifecycle phases;
    private final Clock clock;
    private final MqttServer server;
    private final Map<String, Terminal> clients = new HashMap<>();
    private final Map<String, OpenAsk> open = new HashMap<>();
    private final ResponseCache recent = new ResponseCache();
    private Runnable whenEmpty = () -> {};

    /**
     * Serves MQTT clients from this gateway.
     *
     * @param maxClients how many client connections may be open at once
     */
    public MqttRequestServer(Vertx vertx, RequestDispatcher gateway, Lifecycle phases, Clock clock, int maxClients) {
        this.gateway = gateway;
        this.phases = phases;
        this.clock = clock;
        server = MqttServer.create(vertx, new MqttServerOptions().setMaxMessageSize(MOST_PACKET));
        server.exceptionHandler(e -> Logger.debug("a connection is no terminal's: {}", e.getMessage()));
        server.endpointHandler(endpoint -> connect(endpoint, maxClients));
    }

    /** Opens the front; gives the port. */
    public Future<Integer> listen(HostAndPort at) {
        return server.listen(at.port(), at.address()).map(MqttServer::actualPort);
    }

    /** Turns new terminals away and parts from each that is owed nothing; runs the action once none is left. */
    public void drain(Runnable action) {
        whenEmpty = action;
        List.copyOf(clients.values()).forEach(Terminal::partIfIdle);
        checkEmpty();
    }

    private void checkEmpty() {
        if (draining() && clients.isEmpty() && open.isEmpty()) {
            server.close();
            whenEmpty.run();
        }
    }

    private boolean draining() {
        return phases.current().ordinal() >= Lifecycle.Phase.DRAINING.ordinal();
    }

    private void connect(MqttEndpoint endpoint, int maxClients) {
        if (endpoint.protocolVersion() != 5) {
            endpoint.reject(MqttConnectReturnCode.CONNECTION_REFUSED_UNACCEPTABLE_PROTOCOL_VERSION);
            return;
        }
        Terminal before = clients.get(endpoint.clientIdentifier());
        if (draining() || before == null && clients.size() >= maxClients) {
            endpoint.reject(
                    draining()
                            ? MqttConnectReturnCode.CONNECTION_REFUSED_SERVER_UNAVAILABLE_5
                            : MqttConnectReturnCode.CONNECTION_REFUSED_QUOTA_EXCEEDED);
            return;
        }
        if (before != null) {
            before.part(MqttDisconnectReasonCode.SESSION_TAKEN_OVER);
        }
        clients.put(endpoint.clientIdentifier(), new Terminal(endpoint));
    }

    /** An ask under way, and the connection and packet by which it was delivered last. */
    private final class OpenAsk implements ResponseHandler {
        final String id;
        RequestHandle underWay;
        double until;
        final String responseTopic;
        final byte[] correlation;
        Terminal client;
        MqttQoS qos;
        int messageId;

        OpenAsk(String id, String responseTopic, byte[] correlation) {
            this.id = id;
            this.responseTopic = responseTopic;
            this.correlation = correlation;
        }

        @Override
        public void onResponse(Response answer) {
            open.remove(id);
            ResponseMessage message = ResponseMessage.of(answer, correlation);
            recent.keep(id, message, clock.now(), until);
            client.answer(this, message);
            checkEmpty();
        }

        void deliveredBy(Terminal by, MqttPublishMessage message) {
            client = by;
            qos = message.qosLevel();
            messageId = message.messageId();
        }
    }

    /** One terminal's connection. */
    private final class Terminal {
        private final MqttEndpoint endpoint;
        private final TopicFilters filters = new TopicFilters();
        private int messages;

        Terminal(MqttEndpoint endpoint) {
            this.endpoint = endpoint;
            endpoint.publishAutoAck(false);
            endpoint.publishHandler(this::published);
            endpoint.subscribeHandler(this::subscribe);
            endpoint.unsubscribeHandler(message -> {
                message.topics().forEach(filters::remove);
                endpoint.unsubscribeAcknowledge(message.messageId());
            });
            endpoint.disconnectHandler(said -> endpoint.close());
            endpoint.closeHandler(closed -> gone());
            endpoint.exceptionHandler(e -> part(
                    e instanceof TooLongFrameException
                            ? MqttDisconnectReasonCode.PACKET_TOO_LARGE
                            : MqttDisconnectReasonCode.MALFORMED_PACKET));
            MqttProperties offer = new MqttProperties();
            offer.add(new IntegerProperty(MqttProperties.MAXIMUM_QOS, 1));
            offer.add(new IntegerProperty(MqttProperties.RETAIN_AVAILABLE, 0));
            offer.add(new IntegerProperty(MqttProperties.SHARED_SUBSCRIPTION_AVAILABLE, 0));
            offer.add(new IntegerProperty(MqttProperties.RECEIVE_MAXIMUM, MOST_OPEN));
            offer.add(new IntegerProperty(MqttProperties.MAXIMUM_PACKET_SIZE, MOST_PACKET));
            endpoint.accept(false, offer);
        }

        private void subscribe(MqttSubscribeMessage message) {
            List<MqttSubAckReasonCode> codes = new ArrayList<>();
            for (MqttTopicSubscription each : message.topicSubscriptions()) {
                if (!TopicFilters.valid(each.topicName())) {
                    codes.add(MqttSubAckReasonCode.TOPIC_FILTER_INVALID);
                } else {
                    filters.add(each.topicName());
                    codes.add(
                            each.qualityOfService() == MqttQoS.AT_MOST_ONCE
                                    ? MqttSubAckReasonCode.GRANTED_QOS0
                                    : MqttSubAckReasonCode.GRANTED_QOS1);
                }
            }
            endpoint.subscribeAcknowledge(message.messageId(), codes, MqttProperties.NO_PROPERTIES);
        }

        private void published(MqttPublishMessage message) {
            if (message.qosLevel() == MqttQoS.EXACTLY_ONCE) {
                part(MqttDisconnectReasonCode.QOS_NOT_SUPPORTED);
                return;
            }
            String responseTopic = RequestMessage.text(message.properties(), MqttProperties.RESPONSE_TOPIC);
            byte[] correlation = RequestMessage.bytes(message.properties(), MqttProperties.CORRELATION_DATA);
            if (responseTopic == null || correlation == null) {
                reject(
                        message,
                        MqttPubAckReasonCode.PAYLOAD_FORMAT_INVALID,
                        "an ask needs a response topic and correlation data");
            } else if (!filters.cover(responseTopic)) {
                reject(message, MqttPubAckReasonCode.TOPIC_NAME_INVALID, "the response topic is not subscribed to");
            } else {
                String id = RequestMessage.id(endpoint.clientIdentifier(), correlation);
                OpenAsk known = open.get(id);
                // Without DUP it is a new ask, whose terminal merely uses its correlation data again.
                ResponseMessage given = message.isDup() ? recent.find(id, clock.now()) : null;
                if (known != null) {
                    // Guards against a redelivery becoming a second request: it joins the one under way.
                    known.deliveredBy(this, message);
                    gateway.redeliveryJoined();
                } else {
                    OpenAsk request = new OpenAsk(id, responseTopic, correlation);
                    request.deliveredBy(this, message);
                    if (given != null) {
                        gateway.redeliveryJoined();
                        answer(request, given);
                    } else {
                        take(id, request, message);
                    }
                }
            }
        }

        private void take(String id, OpenAsk opened, MqttPublishMessage message) {
            Request request;
            try {
                request = RequestMessage.read(
                        gateway.requestValidator(), id, message.topicName(), message.properties(), message.payload());
                Idempotency effect = gateway.requestValidator()
                        .requestClass(request.requestClass())
                        .idempotency();
                if (message.isDup() && effect != Idempotency.SAFE) {
                    // Guards against a second effect: who had the first delivery, and when, is not known here any more.
                    throw new InvalidRequestException("redelivered after its time, it may have had its effect");
                }
            } catch (InvalidRequestException e) {
                answer(opened, ResponseMessage.of(new Response.Failed(e.getMessage()), opened.correlation));
                return;
            }
            if (open.values().stream().filter(each -> each.client == this).count() >= MOST_OPEN) {
                part(MqttDisconnectReasonCode.RECEIVE_MAXIMUM_EXCEEDED);
                return;
            }
            open.put(id, opened);
            opened.until = clock.now() + request.timeoutMs();
            opened.underWay = gateway.dispatch(request, opened);
        }

        /** Publishes the answer and then settles the ask. Where the terminal is away it asks for it by redelivery. */
        private void answer(OpenAsk request, ResponseMessage answer) {
            if (endpoint.isConnected()) {
                messages = messages % 65_535 + 1;
                endpoint.publish(
                        request.responseTopic,
                        answer.payload(),
                        request.qos,
                        false,
                        false,
                        messages,
                        answer.properties());
                if (request.qos == MqttQoS.AT_LEAST_ONCE) {
                    endpoint.publishAcknowledge(
                            request.messageId, MqttPubAckReasonCode.SUCCESS, MqttProperties.NO_PROPERTIES);
                }
                partIfIdle();
            }
        }

        /** An ask that cannot even be answered: its acknowledgement says why. */
        private void reject(MqttPublishMessage message, MqttPubAckReasonCode code, String reason) {
            Logger.debug("a publication is rejected: {}", reason);
            if (message.qosLevel() == MqttQoS.AT_LEAST_ONCE) {
                MqttProperties properties = new MqttProperties();
                properties.add(new StringProperty(MqttProperties.REASON_STRING, reason));
                endpoint.publishAcknowledge(message.messageId(), code, properties);
            }
        }

        void partIfIdle() {
            if (draining() && open.values().stream().noneMatch(each -> each.client == this)) {
                part(MqttDisconnectReasonCode.SERVER_SHUTTING_DOWN);
            }
        }

        void part(MqttDisconnectReasonCode reason) {
            if (endpoint.isConnected()) {
                endpoint.disconnect(reason, MqttProperties.NO_PROPERTIES);
            }
        }

        /** Asks of QoS 0 cannot come again and go along; the others are finished, for the terminal may come back. */
        private void gone() {
            clients.remove(endpoint.clientIdentifier(), this);
            for (OpenAsk each : List.copyOf(open.values())) {
                if (each.client == this && each.qos == MqttQoS.AT_MOST_ONCE) {
                    open.remove(each.id);
                    each.underWay.clientLeft();
                }
            }
            checkEmpty();
        }
    }
}
