package opalcove.mqtt;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttSubAckMessage;
import io.netty.handler.codec.mqtt.MqttVersion;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Promise;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.Arrays;
import java.util.List;
import opalcove.backend.BackendConnection;
import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.decision.AttemptStatus;
import opalcove.decision.LoadMetric;
import org.tinylog.Logger;

/**
 * A connection to a backend that is an MQTT 5 server; it carries one attempt at a time.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class MqttBackendConnection implements BackendConnection {
    /** Packet identifier of all packets; one is enough, since at most one publication is in flight. */
    private static final int MESSAGE_ID = 1;
    /** Lowest reason code that is an error. */
    private static final int FIRST_ERROR_CODE = 0x80;
    /** Lowest reason code of a publication that was delivered to no subscriber; 0x10 is "no matching subscribers". */
    private static final int FIRST_UNDELIVERED_CODE = 0x10;

    private final NetSocketInternal socket;
    private final String responseTopic;
    private final Promise<BackendConnection> ready;
    private final List<LoadMetric> metrics;
    private Listener listener;
    /** Correlation data of the attempt in flight; null if there is none. */
    private byte[] correlation;

    /**
     * Sends an MQTT CONNECT over this socket.
     *
     * @param metrics the metrics of the backends' load reports, in the order of their columns
     * @param ready completed once the connection can carry an attempt; failed if it is closed before
     */
    MqttBackendConnection(
            NetSocket socket, String clientId, List<LoadMetric> metrics, Promise<BackendConnection> ready) {
        this.socket = (NetSocketInternal) socket;
        this.ready = ready;
        this.metrics = metrics;
        responseTopic = "opalcove/answer/" + clientId;
        ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
        pipeline.addBefore("handler", "mqttEncoder", MqttEncoder.INSTANCE);
        pipeline.addBefore("handler", "mqttDecoder", new MqttDecoder(RequestMessage.MAX_PACKET_BYTES));
        this.socket.messageHandler(this::onMessage);
        socket.exceptionHandler(e -> fail(e.getMessage()));
        socket.closeHandler(end -> {
            ready.tryFail("the backend closed the connection");
            if (listener != null) {
                listener.onClosed();
            }
        });
        this.socket.writeMessage(MqttMessageBuilders.connect()
                .protocolVersion(MqttVersion.MQTT_5)
                .clientId(clientId)
                .cleanSession(true)
                .keepAlive(0)
                .build());
    }

    @Override
    public void setListener(Listener attached) {
        listener = attached;
    }

    @Override
    public void send(Request request, double timeoutMs) {
        correlation = RequestMessage.correlation(request);
        socket.writeMessage(MqttMessageBuilders.publish()
                        .topicName(RequestMessage.TOPIC_PREFIX + request.requestClass())
                        .qos(MqttQoS.AT_LEAST_ONCE)
                        .messageId(MESSAGE_ID)
                        .properties(RequestMessage.properties(request, timeoutMs, responseTopic))
                        .payload(
                                request.body() == null
                                        ? Unpooled.EMPTY_BUFFER
                                        : request.body().retainedDuplicate())
                        .build())
                .onFailure(cause -> listener.onWriteFailed());
    }

    @Override
    public void close() {
        socket.close();
    }

    void fail(String reason) {
        Logger.warn("connection to the backend at {} closed: {}", socket.remoteAddress(), reason);
        ready.tryFail(reason);
        socket.close();
    }

    private void onMessage(Object received) {
        try {
            if (!(received instanceof MqttMessage message)
                    || message.decoderResult().isFailure()) {
                fail("malformed packet");
                return;
            }
            switch (message.fixedHeader().messageType()) {
                case CONNACK -> onConnAck((MqttConnAckMessage) message);
                case SUBACK -> onSubAck((MqttSubAckMessage) message);
                case PUBLISH -> onPublish((MqttPublishMessage) message);
                case PUBACK -> onPubAck(message);
                default ->
                    fail("unexpected packet of type " + message.fixedHeader().messageType());
            }
        } finally {
            ReferenceCountUtil.release(received);
        }
    }

    private void onConnAck(MqttConnAckMessage message) {
        if (message.variableHeader().connectReturnCode() != MqttConnectReturnCode.CONNECTION_ACCEPTED) {
            fail("CONNECT rejected with code " + message.variableHeader().connectReturnCode());
            return;
        }
        socket.writeMessage(MqttMessageBuilders.subscribe()
                .messageId(MESSAGE_ID)
                .addSubscription(MqttQoS.AT_LEAST_ONCE, responseTopic)
                .build());
    }

    private void onSubAck(MqttSubAckMessage message) {
        if (message.payload().reasonCodes().stream().anyMatch(code -> code >= FIRST_ERROR_CODE)) {
            fail("SUBSCRIBE to the response topic rejected");
        } else {
            ready.tryComplete(this);
        }
    }

    /** Handles a response; one that does not belong to the attempt in flight is acknowledged and dropped. */
    private void onPublish(MqttPublishMessage message) {
        MqttProperties properties = message.variableHeader().properties();
        if (message.fixedHeader().qosLevel() == MqttQoS.AT_LEAST_ONCE) {
            socket.writeMessage(MqttMessageBuilders.pubAck()
                    .packetId(message.variableHeader().packetId())
                    .reasonCode((byte) 0)
                    .build());
        }
        if (correlation != null
                && Arrays.equals(correlation, PropertyReader.bytes(properties, MqttProperties.CORRELATION_DATA))) {
            // The payload is valid only during this call, since the packet is released afterwards.
            finish(ResponseMessage.read(properties, message.payload(), metrics));
        }
    }

    /**
     * Reports the attempt as rejected if the backend did not accept the publication or has no subscriber for it, in which
     * case it has not run the request.
     */
    private void onPubAck(MqttMessage message) {
        if (correlation != null
                && message.variableHeader() instanceof MqttPubReplyMessageVariableHeader header
                && (header.reasonCode() & 0xff) >= FIRST_UNDELIVERED_CODE) {
            finish(AttemptResult.withoutReport(AttemptStatus.REJECTED));
        }
    }

    private void finish(AttemptResult result) {
        correlation = null;
        listener.onReply(result);
    }
}
