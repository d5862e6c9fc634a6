package opalcove.laboratory;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.BinaryProperty;
import io.netty.handler.codec.mqtt.MqttProperties.MqttProperty;
import io.netty.handler.codec.mqtt.MqttProperties.StringPair;
import io.netty.handler.codec.mqtt.MqttProperties.StringProperty;
import io.netty.handler.codec.mqtt.MqttProperties.UserProperty;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttVersion;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A terminal's side of MQTT 5: asks of QoS 1, answers by their correlation data, acknowledged. */
final class MqttWire extends SimpleChannelInboundHandler<MqttMessage> implements Load.Wire {
    private static final int MAX_PACKET = 80 * 1024;

    private final String client;
    private final RequestGenerator requests;
    private final Load.Answers answers;
    private final CompletableFuture<Load.Wire> ready;
    private final byte[] body;
    private final Map<String, Long> open = new HashMap<>();
    private Load.Answer[] came = new Load.Answer[64];
    private long[] cameStartedAt = new long[64];
    private int number;
    private int packets;

    private MqttWire(
            String client, RequestGenerator requests, Load.Answers answers, CompletableFuture<Load.Wire> ready) {
        this.client = client;
        this.requests = requests;
        this.answers = answers;
        this.ready = ready;
        body = requests.body();
    }

    static void open(
            Channel channel,
            String client,
            RequestGenerator requests,
            Load.Answers answers,
            CompletableFuture<Load.Wire> ready) {
        channel.pipeline()
                .addLast(
                        MqttEncoder.INSTANCE,
                        new MqttDecoder(MAX_PACKET),
                        new MqttWire(client, requests, answers, ready));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(MqttMessageBuilders.connect()
                .protocolVersion(MqttVersion.MQTT_5)
                .clientId(client)
                .cleanSession(true)
                .keepAlive(0)
                .build());
    }

    @Override
    public void request(Channel channel, long n, long started) {
        String correlation = requests.id(n);
        boolean record = requests.record(n);
        open.put(correlation, started);
        MqttProperties properties = new MqttProperties();
        properties.add(new StringProperty(MqttProperties.RESPONSE_TOPIC, "answers/" + client));
        properties.add(
                new BinaryProperty(MqttProperties.CORRELATION_DATA, correlation.getBytes(StandardCharsets.US_ASCII)));
        properties.add(new UserProperty("operator", requests.tenant(n)));
        properties.add(new UserProperty("plan", requests.proposedPlan(n)));
        properties.add(new UserProperty("units", "1"));
        properties.add(new UserProperty("entry-points", "1"));
        properties.add(new UserProperty("first-entry", "0"));
        if (record) {
            properties.add(new UserProperty("key", requests.key(n)));
        }
        packets = packets % 65_535 + 1;
        channel.write(MqttMessageBuilders.publish()
                .topicName("opalcove/ask/" + (record ? "swap-record" : "slot-status"))
                .qos(MqttQoS.AT_LEAST_ONCE)
                .messageId(packets)
                .properties(properties)
                .payload(record ? Unpooled.wrappedBuffer(body) : Unpooled.EMPTY_BUFFER)
                .build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MqttMessage message) {
        switch (message.fixedHeader().messageType()) {
            case CONNACK ->
                context.writeAndFlush(MqttMessageBuilders.subscribe()
                        .messageId(65_535)
                        .addSubscription(MqttQoS.AT_LEAST_ONCE, "answers/" + client)
                        .build());
            case SUBACK -> ready.complete(this);
            case PUBLISH -> answer(context, (MqttPublishMessage) message);
            case DISCONNECT -> throw new IllegalStateException("the gateway parts: " + message);
            default -> {}
        }
    }

    private void answer(ChannelHandlerContext context, MqttPublishMessage message) {
        context.write(MqttMessageBuilders.pubAck()
                .packetId(message.variableHeader().packetId())
                .reasonCode((byte) 0)
                .build());
        MqttProperties properties = message.variableHeader().properties();
        Long started = open.remove(new String(
                (byte[]) properties.getProperty(MqttProperties.CORRELATION_DATA).value(), StandardCharsets.US_ASCII));
        if (started == null) {
            throw new IllegalStateException("an answer to no ask");
        }
        if (number == came.length) {
            came = Arrays.copyOf(came, 2 * number);
            cameStartedAt = Arrays.copyOf(cameStartedAt, 2 * number);
        }
        came[number] = status(properties);
        cameStartedAt[number++] = started;
    }

    private static Load.Answer status(MqttProperties properties) {
        for (MqttProperty<?> each : properties.getProperties(MqttProperties.USER_PROPERTY)) {
            if (each.value() instanceof StringPair pair && pair.key.equals("status")) {
                return pair.value.equals("served")
                        ? Load.Answer.SERVED
                        : pair.value.equals("refused") ? Load.Answer.REFUSED : Load.Answer.FAILED;
            }
        }
        return Load.Answer.FAILED;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        int all = number;
        number = 0;
        if (all > 0) {
            answers.take(context.channel(), came, cameStartedAt, all);
        }
        context.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ready.completeExceptionally(cause);
        context.close();
    }
}
