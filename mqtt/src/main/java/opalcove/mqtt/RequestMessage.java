package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.BinaryProperty;
import io.netty.handler.codec.mqtt.MqttProperties.IntegerProperty;
import io.netty.handler.codec.mqtt.MqttProperties.StringProperty;
import io.netty.handler.codec.mqtt.MqttProperties.UserProperty;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestParameters;
import opalcove.core.RequestValidator;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Idempotency;

/** Reads requests from publications of clients and writes them for backends. docs/mqtt.md specifies their format. */
final class RequestMessage {
    /** Prefix of the topics of requests; the name of the request class follows. */
    static final String TOPIC_PREFIX = "opalcove/ask/";
    /** Maximum size of a packet, which holds a body, a topic and properties. */
    static final int MAX_PACKET_BYTES = 72 * 1024;

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final double MS_PER_SECOND = 1000.0;

    private RequestMessage() {}

    /** Returns the id of a request, which is the same for each delivery of the same publication by the same client. */
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

    /**
     * Reads a request from a publication of a client.
     *
     * @throws InvalidRequestException if the request is malformed or invalid; its message is sent to the client
     */
    static Request read(
            RequestValidator validator, String requestId, String topic, MqttProperties properties, Buffer body)
            throws InvalidRequestException {
        if (!topic.startsWith(TOPIC_PREFIX)) {
            throw new InvalidRequestException("asks are published below " + TOPIC_PREFIX);
        }
        DecisionSettings.RequestClass requestClass = validator.requestClass(topic.substring(TOPIC_PREFIX.length()));
        boolean safe = requestClass.idempotency() == Idempotency.SAFE;
        if (safe && body.length() > 0) {
            throw new InvalidRequestException(requestClass.name() + " carries no body");
        }
        if (body.length() > MAX_BODY_BYTES) {
            throw new InvalidRequestException("the body is larger than " + MAX_BODY_BYTES + " bytes");
        }
        Integer expiry = PropertyReader.number(properties, MqttProperties.PUBLICATION_EXPIRY_INTERVAL);
        if (expiry != null && expiry == 0) {
            throw new InvalidRequestException("expired");
        }
        // The expiry is an unsigned 32-bit number of seconds.
        double expiryMs = expiry == null ? Double.MAX_VALUE : Integer.toUnsignedLong(expiry) * MS_PER_SECOND;
        RequestParameters parameters = new RequestParameters(PropertyReader.userProperties(properties));
        return validator.validate(new Request(
                requestId,
                parameters.required("operator"),
                requestClass.name(),
                parameters.required("plan"),
                parameters.number("units"),
                Math.min(requestClass.deadlineMs(), expiryMs),
                requestClass.idempotency() == Idempotency.KEYED ? parameters.required("key") : null,
                parameters.isSet("retry"),
                parameters.integer("entry-points"),
                parameters.integer("first-entry"),
                safe ? null : ((BufferInternal) body).getByteBuf()));
    }

    /** Returns the properties of a publication to a backend. The expiry is in seconds, rounded up, and at least 1 s. */
    static MqttProperties properties(Request request, double timeoutMs, String responseTopic) {
        MqttProperties properties = new MqttProperties();
        properties.add(new IntegerProperty(
                MqttProperties.PUBLICATION_EXPIRY_INTERVAL, (int) Math.max(1, Math.ceil(timeoutMs / MS_PER_SECOND))));
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

    /** Returns the correlation data that identifies the backend's response to a request. */
    static byte[] correlation(Request request) {
        return request.id().getBytes(StandardCharsets.US_ASCII);
    }
}
