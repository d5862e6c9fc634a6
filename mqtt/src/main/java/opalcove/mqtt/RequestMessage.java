package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.BinaryProperty;
import io.netty.handler.codec.mqtt.MqttProperties.IntegerProperty;
import io.netty.handler.codec.mqtt.MqttProperties.MqttProperty;
import io.netty.handler.codec.mqtt.MqttProperties.StringPair;
import io.netty.handler.codec.mqtt.MqttProperties.StringProperty;
import io.netty.handler.codec.mqtt.MqttProperties.UserProperty;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestParameters;
import opalcove.core.RequestValidator;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Idempotency;

/** An ask as an MQTT 5 publication: read at the front, written at the links. docs/mqtt.md has its form. */
final class RequestMessage {
    static final String TOPIC = "opalcove/ask/";
    static final int MOST_BODY = 64 * 1024;

    private RequestMessage() {}

    /** The ask's id: the same for each delivery of the same publication by the same terminal. */
    static String id(String clientId, byte[] correlation) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(clientId.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return HexFormat.of().formatHex(digest.digest(correlation), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    static Request read(RequestValidator rules, String id, String topic, MqttProperties properties, Buffer body)
            throws InvalidRequestException {
        if (!topic.startsWith(TOPIC)) {
            throw new InvalidRequestException("asks are published below " + TOPIC);
        }
        DecisionSettings.RequestClass requestClass = rules.requestClass(topic.substring(TOPIC.length()));
        boolean safe = requestClass.idempotency() == Idempotency.SAFE;
        if (safe && body.length() > 0) {
            throw new InvalidRequestException(requestClass.name() + " carries no body");
        }
        if (body.length() > MOST_BODY) {
            throw new InvalidRequestException("the body is larger than " + MOST_BODY + " bytes");
        }
        Integer expiry = number(properties, MqttProperties.PUBLICATION_EXPIRY_INTERVAL);
        if (expiry != null && expiry == 0) {
            throw new InvalidRequestException("expired");
        }
        // The expiry is an unsigned 32-bit number of seconds.
        double waitMs = Math.min(
                requestClass.deadlineMs(), expiry == null ? Double.MAX_VALUE : Integer.toUnsignedLong(expiry) * 1000.0);
        RequestParameters marks = new RequestParameters(userProperties(properties));
        return rules.validate(new Request(
                id,
                marks.required("operator"),
                requestClass.name(),
                marks.required("plan"),
                marks.number("units"),
                waitMs,
                requestClass.idempotency() == Idempotency.KEYED ? marks.required("key") : null,
                marks.isSet("retry"),
                marks.integer("entry-points"),
                marks.integer("first-entry"),
                safe ? null : ((BufferInternal) body).getByteBuf()));
    }

    /** The properties of the publication that passes the ask on. Its expiry is in whole seconds, rounded up. */
    static MqttProperties properties(Request request, double waitMs, String responseTopic) {
        MqttProperties properties = new MqttProperties();
        properties.add(new IntegerProperty(
                MqttProperties.PUBLICATION_EXPIRY_INTERVAL, (int) Math.max(1, Math.ceil(waitMs / 1000))));
        properties.add(new StringProperty(MqttProperties.RESPONSE_TOPIC, responseTopic));
        properties.add(new BinaryProperty(MqttProperties.CORRELATION_DATA, correlation(request)));
        properties.add(new UserProperty("operator", request.tenant()));
        properties.add(new UserProperty("plan", request.plan()));
        properties.add(new UserProperty("units", request.unitsText()));
        properties.add(new UserProperty("entry-points", Integer.toString(request.gatewayCount())));
        properties.add(new UserProperty("first-entry", Integer.toString(request.firstGateway())));
        if (request.idempotencyKey() != null) {
            properties.add(new UserProperty("key", request.idempotencyKey()));
        }
        if (request.retry()) {
            properties.add(new UserProperty("retry", "1"));
        }
        return properties;
    }

    /** What ties a node's answer to an ask. */
    static byte[] correlation(Request request) {
        return request.id().getBytes(StandardCharsets.US_ASCII);
    }

    /** The user properties by name; of a name that comes twice, the last counts. */
    static Map<String, String> userProperties(MqttProperties properties) {
        Map<String, String> values = new HashMap<>();
        for (MqttProperty<?> each : properties.getProperties(MqttProperties.USER_PROPERTY)) {
            if (each.value() instanceof StringPair pair) {
                values.put(pair.key, pair.value);
            }
        }
        return values;
    }

    static String text(MqttProperties properties, int id) {
        MqttProperty<?> property = properties.getProperty(id);
        return property == null ? null : (String) property.value();
    }

    static byte[] bytes(MqttProperties properties, int id) {
        MqttProperty<?> property = properties.getProperty(id);
        return property == null ? null : (byte[]) property.value();
    }

    private static Integer number(MqttProperties properties, int id) {
        MqttProperty<?> property = properties.getProperty(id);
        return property == null ? null : (Integer) property.value();
    }
}
