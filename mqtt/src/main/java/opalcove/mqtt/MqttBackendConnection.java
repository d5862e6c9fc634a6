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
import opalcove.backend.ConnectionPool;
import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.decision.AttemptStatus;
import opalcove.decision.LoadMetric;
import org.tinylog.Logger;

/**
 * A connection to a backend that is an MQTT 5 server. It carries one attempt at a time.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class MqttBackendConnection implements ConnectionPool.BackendConnection {
    /** One publication is in flight at a time, so one identifier will do. */
    private static final int MESSAGE_ID = 1;
    /** Reason codes from here on are errors. */
    private static final int FIRST_ERROR_CODE = 0x80;
    /** From here on a publication was not delivered to anyone: 0x10 is "no matching subscribers". */
    private static final int FIRST_UNDELIVERED_CODE = 0x10;

    private final NetSocketInternal socket;
    private final String responseTopic;
    private final Promise<ConnectionPool.BackendConnection> ready;
    private final List<LoadMetric> metrics;
    private Listener listener;
    /** Of the attempt in flight; null: there is none. */
    private byte[] correlation;

    /**
     * Connects over this socket.
     *
     * @param metrics the columns of the backends' load reports
     * @param ready completed once the connection can carry an attempt
     */
    MqttBackendConnection(
            NetSocket socket,
            String clientId,
            List<LoadMetric> metrics,
            Promise<ConnectionPool.BackendConnection> ready) {
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
                fail("a packet that cannot be read");
                return;
            }
            switch (message.fixedHeader().messageType()) {
                case CONNACK -> onConnAck((MqttConnAckMessage) message);
                case SUBACK -> onSubAck((MqttSubAckMessage) message);
                case PUBLISH -> onPublish((MqttPublishMessage) message);
                case PUBACK -> onPubAck(message);
                default -> fail("a packet of type " + message.fixedHeader().messageType());
            }
        } finally {
            ReferenceCountUtil.release(received);
        }
    }

    private void onConnAck(MqttConnAckMessage message) {
        if (message.variableHeader().connectReturnCode() != MqttConnectReturnCode.CONNECTION_ACCEPTED) {
            fail("not connected: " + message.variableHeader().connectReturnCode());
            return;
        }
        socket.writeMessage(MqttMessageBuilders.subscribe()
                .messageId(MESSAGE_ID)
                .addSubscription(MqttQoS.AT_LEAST_ONCE, responseTopic)
                .build());
    }

    private void onSubAck(MqttSubAckMessage message) {
        if (message.payload().reasonCodes().stream().anyMatch(code -> code >= FIRST_ERROR_CODE)) {
            fail("not subscribed");
        } else {
            ready.tryComplete(this);
        }
    }

    /** A response; one that belongs to no attempt is acknowledged and dropped. */
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
            // Lent: the packet is released once this call has returned.
            finish(ResponseMessage.read(properties, message.payload(), metrics));
        }
    }

    /** A backend that does not accept the publication, or has no subscriber for it, has not run it. */
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
