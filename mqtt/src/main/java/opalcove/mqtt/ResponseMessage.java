package opalcove.mqtt;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.BinaryProperty;
import io.netty.handler.codec.mqtt.MqttProperties.UserProperty;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import opalcove.config.SettingsReader;
import opalcove.core.AttemptResult;
import opalcove.core.Response;
import opalcove.decision.AttemptStatus;
import opalcove.decision.LoadMetric;
import org.tinylog.Logger;

/** An answer as an MQTT 5 publication: written at the front, read at the links. */
record ResponseMessage(MqttProperties properties, Buffer payload) {
    private static final String STATUS = "status";
    private static final String SERVED = "served";
    private static final String REFUSED = "refused";
    private static final String FAILED = "failed";

    static ResponseMessage of(Response answer, byte[] correlation) {
        MqttProperties properties = new MqttProperties();
        properties.add(new BinaryProperty(MqttProperties.CORRELATION_DATA, correlation));
        Buffer payload = Buffer.buffer();
        if (answer instanceof Response.Served served) {
            properties.add(new UserProperty(STATUS, SERVED));
            // Kept for redeliveries, and the value is lent.
            payload = Buffer.buffer(ByteBufUtil.getBytes(served.value()));
        } else if (answer instanceof Response.Refused refused) {
            properties.add(new UserProperty(STATUS, REFUSED));
            if (refused.retryAfterMs() > 0) {
                properties.add(new UserProperty("retry-after-ms", Long.toString(refused.retryAfterMs())));
            }
        } else {
            properties.add(new UserProperty(STATUS, FAILED));
            properties.add(new UserProperty("reason", ((Response.Failed) answer).reason()));
        }
        return new ResponseMessage(properties, payload);
    }

    /** How an attempt ended, by the node's answer: refused is "never ran", all but served and refused "may have". */
    static AttemptResult read(MqttProperties properties, ByteBuf payload, List<LoadMetric> gauges) {
        Map<String, String> told = RequestMessage.userProperties(properties);
        double[] load = null;
        int used = -1;
        double cost = 0;
        for (Map.Entry<String, String> each : told.entrySet()) {
            int column = gauges.indexOf(SettingsReader.loadMetric(each.getKey()));
            try {
                if (each.getKey().equals("used")) {
                    used = Integer.parseInt(each.getValue());
                } else if (each.getKey().equals("cost")) {
                    cost = Double.parseDouble(each.getValue());
                } else if (column >= 0) {
                    load = load == null ? new double[gauges.size()] : load;
                    load[column] = Double.parseDouble(each.getValue());
                }
            } catch (NumberFormatException e) {
                Logger.warn("an app node told {}={}", each.getKey(), each.getValue());
            }
        }
        return switch (told.getOrDefault(STATUS, "")) {
            case SERVED -> new AttemptResult(AttemptStatus.SERVED, payload, used, cost, load);
            case REFUSED -> new AttemptResult(AttemptStatus.REJECTED, null, used, cost, load);
            default -> new AttemptResult(AttemptStatus.ERROR, null, used, cost, load);
        };
    }
}
