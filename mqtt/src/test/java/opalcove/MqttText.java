package opalcove;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttConnectMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttMessageFactory;
import io.netty.handler.codec.mqtt.MqttMessageIdVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttPublishVariableHeader;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttReasonCodeAndPropertiesVariableHeader;
import io.netty.handler.codec.mqtt.MqttSubAckMessage;
import io.netty.handler.codec.mqtt.MqttSubscribeMessage;
import io.netty.handler.codec.mqtt.MqttVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts MQTT 5 packets to and from lines of text, so that recorded exchanges are readable:
 * {@code PUBLISH topic=a qos=1 id=7 expiry=4 response=b correlation=c plan=start payload=x}. Names other than the known
 * ones are user properties; {@code HEX 30ff} stands for raw bytes.
 */
final class MqttText {
    private final EmbeddedChannel channel = new EmbeddedChannel(MqttEncoder.INSTANCE, new MqttDecoder(100_000));

    byte[] bytes(String line) {
        String[] tokens = line.strip().split(" ");
        if (tokens[0].equals("HEX")) {
            return HexFormat.of().parseHex(tokens[1]);
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 1; i < tokens.length; i++) {
            int equals = tokens[i].indexOf('=');
            fields.put(tokens[i].substring(0, equals), tokens[i].substring(equals + 1));
        }
        channel.writeOutbound(message(tokens[0], fields));
        ByteBuf all = Unpooled.buffer();
        for (ByteBuf each = channel.readOutbound(); each != null; each = channel.readOutbound()) {
            all.writeBytes(each);
            each.release();
        }
        byte[] bytes = new byte[all.readableBytes()];
        all.readBytes(bytes);
        return bytes;
    }

    private static int number(Map<String, String> fields, String name) {
        String value = fields.remove(name);
        return value == null ? 0 : Integer.parseInt(value);
    }

    private static MqttMessage message(String type, Map<String, String> fields) {
        return switch (type) {
            case "CONNECT" ->
                MqttMessageBuilders.connect()
                        .clientId(fields.get("client"))
                        .cleanSession(true)
                        .keepAlive(0)
                        .protocolVersion(
                                "4".equals(fields.get("version")) ? MqttVersion.MQTT_3_1_1 : MqttVersion.MQTT_5)
                        .build();
            case "CONNACK" ->
                MqttMessageBuilders.connAck()
                        .returnCode(MqttConnectReturnCode.valueOf((byte) number(fields, "code")))
                        .properties(new MqttProperties())
                        .build();
            case "SUBSCRIBE" ->
                MqttMessageBuilders.subscribe()
                        .messageId(number(fields, "id"))
                        .addSubscription(MqttQoS.AT_LEAST_ONCE, fields.get("filter"))
                        .build();
            case "SUBACK" ->
                MqttMessageBuilders.subAck()
                        .packetId(number(fields, "id"))
                        .addGrantedQos(MqttQoS.AT_LEAST_ONCE)
                        .build();
            case "PUBACK" ->
                MqttMessageBuilders.pubAck()
                        .packetId(number(fields, "id"))
                        .reasonCode((byte) number(fields, "code"))
                        .build();
            case "PUBLISH" -> publish(fields);
            default -> throw new IllegalArgumentException(type);
        };
    }

    private static MqttMessage publish(Map<String, String> fields) {
        MqttQoS qos = MqttQoS.valueOf(number(fields, "qos"));
        boolean dup = fields.remove("dup") != null;
        String topic = fields.remove("topic");
        int id = number(fields, "id");
        String payload = fields.getOrDefault("payload", "");
        fields.remove("payload");
        MqttProperties properties = new MqttProperties();
        fields.forEach((name, value) -> properties.add(
                switch (name) {
                    case "expiry" ->
                        new MqttProperties.IntegerProperty(
                                MqttProperties.PUBLICATION_EXPIRY_INTERVAL, Integer.parseInt(value));
                    case "response" -> new MqttProperties.StringProperty(MqttProperties.RESPONSE_TOPIC, value);
                    case "correlation" ->
                        new MqttProperties.BinaryProperty(
                                MqttProperties.CORRELATION_DATA, value.getBytes(StandardCharsets.UTF_8));
                    default -> new MqttProperties.UserProperty(name, value);
                }));
        return MqttMessageFactory.newMessage(
                new MqttFixedHeader(MqttMessageType.PUBLISH, dup, qos, false, 0),
                new MqttPublishVariableHeader(topic, id, properties),
                Unpooled.copiedBuffer(payload, StandardCharsets.UTF_8));
    }

    /** Returns the packets that these bytes complete, one per line. */
    String text(byte[] bytes, int length) {
        StringBuilder lines = new StringBuilder();
        channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, length));
        for (Object each = channel.readInbound(); each != null; each = channel.readInbound()) {
            lines.append(line((MqttMessage) each)).append('\n');
            ReferenceCountUtil.release(each);
        }
        return lines.toString();
    }

    private static String line(MqttMessage message) {
        if (message.decoderResult().isFailure()) {
            throw new AssertionError(message.decoderResult().cause());
        }
        String type = message.fixedHeader().messageType().name();
        if (message instanceof MqttConnectMessage connect) {
            return type + " client=" + connect.payload().clientIdentifier();
        }
        if (message instanceof MqttConnAckMessage ack) {
            return type + " code=" + (ack.variableHeader().connectReturnCode().byteValue() & 0xff);
        }
        if (message instanceof MqttSubscribeMessage subscribe) {
            return type + " id=" + subscribe.variableHeader().messageId() + " filter="
                    + subscribe.payload().topicSubscriptions().get(0).topicFilter();
        }
        if (message instanceof MqttSubAckMessage ack) {
            return type + " id=" + ack.variableHeader().messageId() + " codes="
                    + ack.payload().reasonCodes();
        }
        if (message instanceof MqttPublishMessage publish) {
            return type + line(publish);
        }
        Object header = message.variableHeader();
        if (header instanceof MqttPubReplyMessageVariableHeader reply) {
            return type + " id=" + reply.messageId() + " code=" + (reply.reasonCode() & 0xff);
        }
        if (header instanceof MqttReasonCodeAndPropertiesVariableHeader reason) {
            return type + " code=" + (reason.reasonCode() & 0xff);
        }
        return type + (header instanceof MqttMessageIdVariableHeader id ? " id=" + id.messageId() + " code=0" : "");
    }

    private static String line(MqttPublishMessage publish) {
        MqttPublishVariableHeader header = publish.variableHeader();
        Map<String, String> fields = new TreeMap<>();
        for (MqttProperties.MqttProperty<?> each : header.properties().listAll()) {
            switch (each.propertyId()) {
                case MqttProperties.PUBLICATION_EXPIRY_INTERVAL ->
                    fields.put("expiry", each.value().toString());
                case MqttProperties.RESPONSE_TOPIC ->
                    fields.put("response", each.value().toString());
                case MqttProperties.CORRELATION_DATA ->
                    fields.put("correlation", new String((byte[]) each.value(), StandardCharsets.UTF_8));
                case MqttProperties.USER_PROPERTY ->
                    ((Iterable<?>) each.value())
                            .forEach(pair -> fields.put(
                                    ((MqttProperties.StringPair) pair).key, ((MqttProperties.StringPair) pair).value));
                default -> fields.put("property-" + each.propertyId(), String.valueOf(each.value()));
            }
        }
        StringBuilder text = new StringBuilder(" topic=" + header.topicName() + " qos="
                + publish.fixedHeader().qosLevel().value() + " id=" + header.packetId()
                + (publish.fixedHeader().isDup() ? " dup=1" : ""));
        fields.forEach(
                (name, value) -> text.append(' ').append(name).append('=').append(value));
        return text.append(" payload=")
                .append(publish.payload().toString(StandardCharsets.UTF_8))
                .toString();
    }
}
