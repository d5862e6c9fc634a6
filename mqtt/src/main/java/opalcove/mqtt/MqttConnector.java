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
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.Arrays;
import java.util.List;
import opalcove.backend.BackendConnection;
import opalcove.backend.Connector;
import opalcove.config.HostAndPort;
import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.LoadMetric;
import org.tinylog.Logger;

/**
 * Opens lines to app nodes that are MQTT 5 servers: connected, and subscribed to the topic of their answers. It stands
 * on Netty's codec, since vertx-mqtt's client speaks MQTT 3.1.1 only and sends unacknowledged messages again by itself.
 */
public final class MqttConnector implements Connector {
    public static final String SCHEME = "mqtt://";
    private static final int MOST_PACKET = RequestMessage.MOST_BODY + 8 * 1024;
    private static final int MESSAGE_ID = 1;

    private final Vertx vertx;
    private final NetClient client;
    private final String name;
    private final long dialMs;
    private final List<LoadMetric> gauges;
    private long lines;

    /**
     * Opens connections to backends that speak MQTT.
     *
     * @param name prefix of the client identifiers
     */
    public MqttConnector(Vertx vertx, DecisionSettings settings, String name) {
        this.vertx = vertx;
        this.name = name;
        dialMs = (long) Math.max(1, settings.limits().connectTimeoutMs());
        gauges = settings.loadMetrics();
        client = vertx.createNetClient(
                new NetClientOptions().setReconnectAttempts(0).setConnectTimeout((int) dialMs));
    }

    @Override
    public Future<BackendConnection> connect(String address) {
        HostAndPort backend = HostAndPort.parse(address.substring(SCHEME.length()), "address");
        Promise<BackendConnection> ready = Promise.promise();
        client.connect(backend.port(), backend.address())
                .onSuccess(socket -> {
                    MqttLine line = new MqttLine(socket, name + "-" + ++lines, ready);
                    // Guards against a node that takes the connection and says nothing.
                    long late = vertx.setTimer(dialMs, due -> line.fail("no answer to the connection"));
                    ready.future().onComplete(done -> vertx.cancelTimer(late));
                })
                .onFailure(ready::tryFail);
        return ready.future();
    }

    private final class MqttLine implements BackendConnection {
        private final NetSocketInternal socket;
        private final String responseTopic;
        private final Promise<BackendConnection> ready;
        private Listener user;
        private byte[] correlation;

        MqttLine(NetSocket socket, String clientId, Promise<BackendConnection> ready) {
            this.socket = (NetSocketInternal) socket;
            this.ready = ready;
            responseTopic = "opalcove/answer/" + clientId;
            ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
            pipeline.addBefore("handler", "mqttEncoder", MqttEncoder.INSTANCE);
            pipeline.addBefore("handler", "mqttDecoder", new MqttDecoder(MOST_PACKET));
            this.socket.messageHandler(this::message);
            socket.exceptionHandler(e -> fail(e.getMessage()));
            socket.closeHandler(end -> {
                ready.tryFail("the node closed the connection");
                if (user != null) {
                    user.onClosed();
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
            user = attached;
        }

        @Override
        public void send(Request request, double waitMs) {
            correlation = RequestMessage.correlation(request);
            socket.writeMessage(MqttMessageBuilders.publish()
                            .topicName(RequestMessage.TOPIC + request.requestClass())
                            .qos(MqttQoS.AT_LEAST_ONCE)
                            .messageId(MESSAGE_ID)
                            .properties(RequestMessage.properties(request, waitMs, responseTopic))
                            .payload(
                                    request.body() == null
                                            ? Unpooled.EMPTY_BUFFER
                                            : request.body().retainedDuplicate())
                            .build())
                    .onFailure(cut -> user.onWriteFailed());
        }

        @Override
        public void close() {
            socket.close();
        }

        void fail(String reason) {
            Logger.warn("the line to a node at {} ends: {}", socket.remoteAddress(), reason);
            ready.tryFail(reason);
            socket.close();
        }

        private void message(Object received) {
            try {
                if (!(received instanceof MqttMessage message)
                        || message.decoderResult().isFailure()) {
                    fail("a packet that cannot be read");
                    return;
                }
                switch (message.fixedHeader().messageType()) {
                    case CONNACK -> connected((MqttConnAckMessage) message);
                    case SUBACK -> subscribed((MqttSubAckMessage) message);
                    case PUBLISH -> published((MqttPublishMessage) message);
                    case PUBACK -> acknowledged(message);
                    default -> fail("a packet of type " + message.fixedHeader().messageType());
                }
            } finally {
                ReferenceCountUtil.release(received);
            }
        }

        private void connected(MqttConnAckMessage message) {
            if (message.variableHeader().connectReturnCode() != MqttConnectReturnCode.CONNECTION_ACCEPTED) {
                fail("not connected: " + message.variableHeader().connectReturnCode());
                return;
            }
            socket.writeMessage(MqttMessageBuilders.subscribe()
                    .messageId(MESSAGE_ID)
                    .addSubscription(MqttQoS.AT_LEAST_ONCE, responseTopic)
                    .build());
        }

        private void subscribed(MqttSubAckMessage message) {
            if (message.payload().reasonCodes().stream().anyMatch(code -> code >= 0x80)) {
                fail("not subscribed");
            } else {
                ready.tryComplete(this);
            }
        }

        /** An answer; one that belongs to no attempt is acknowledged and dropped. */
        private void published(MqttPublishMessage message) {
            MqttProperties properties = message.variableHeader().properties();
            if (message.fixedHeader().qosLevel() == MqttQoS.AT_LEAST_ONCE) {
                socket.writeMessage(MqttMessageBuilders.pubAck()
                        .packetId(message.variableHeader().packetId())
                        .reasonCode((byte) 0)
                        .build());
            }
            if (correlation != null
                    && Arrays.equals(correlation, RequestMessage.bytes(properties, MqttProperties.CORRELATION_DATA))) {
                // Lent: the packet is released once this call has returned.
                answered(ResponseMessage.read(properties, message.payload(), gauges));
            }
        }

        /** A node that does not take the publication, or has nobody for it, has not run it. */
        private void acknowledged(MqttMessage message) {
            if (correlation != null
                    && message.variableHeader() instanceof MqttPubReplyMessageVariableHeader header
                    && (header.reasonCode() & 0xff) >= 0x10) {
                answered(AttemptResult.withoutReport(AttemptStatus.REJECTED));
            }
        }

        private void answered(AttemptResult end) {
            correlation = null;
            user.onReply(end);
        }
    }
}
