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

/**
 * A response as an MQTT 5 publication to a client; also reads responses of backends. docs/mqtt.md specifies their format.
 *
 * @param properties the properties, including the correlation data of the request
 * @param payload the value of a served response; otherwise empty
 */
record ResponseMessage(MqttProperties properties, Buffer payload) {
    private static final String STATUS = "status";
    private static final String SERVED = "served";
    private static final String REFUSED = "refused";
    private static final String FAILED = "failed";

    /** Creates the message of a response to the request with this correlation data. */
    static ResponseMessage of(Response response, byte[] correlation) {
        MqttProperties properties = new MqttProperties();
        properties.add(new BinaryProperty(MqttProperties.CORRELATION_DATA, correlation));
        Buffer payload = Buffer.buffer();
        if (response instanceof Response.Served served) {
            properties.add(new UserProperty(STATUS, SERVED));
            // Copied, since the value is valid only during this call and the message is cached for redeliveries.
            payload = Buffer.buffer(ByteBufUtil.getBytes(served.value()));
        } else if (response instanceof Response.Refused refused) {
            properties.add(new UserProperty(STATUS, REFUSED));
            if (refused.retryAfterMs() > 0) {
                properties.add(new UserProperty("retry-after-ms", Long.toString(refused.retryAfterMs())));
            }
        } else {
            properties.add(new UserProperty(STATUS, FAILED));
            properties.add(new UserProperty("reason", ((Response.Failed) response).reason()));
        }
        return new ResponseMessage(properties, payload);
    }

    /**
     * Returns the result of an attempt from its backend's response. Status refused means that the request did not run; any
     * other status except served means that it may have run.
     */
    static AttemptResult read(MqttProperties properties, ByteBuf payload, List<LoadMetric> metrics) {
        Map<String, String> values = PropertyReader.userProperties(properties);
        double[] loadReport = null;
        int quotaUsedPercent = -1;
        double actualUnits = 0;
        for (Map.Entry<String, String> each : values.entrySet()) {
            int column = metrics.indexOf(SettingsReader.loadMetric(each.getKey()));
            try {
                if (each.getKey().equals("used")) {
                    quotaUsedPercent = Integer.parseInt(each.getValue());
                } else if (each.getKey().equals("cost")) {
                    actualUnits = Double.parseDouble(each.getValue());
                } else if (column >= 0) {
                    loadReport = loadReport == null ? new double[metrics.size()] : loadReport;
                    loadReport[column] = Double.parseDouble(each.getValue());
                }
            } catch (NumberFormatException e) {
                Logger.warn(
                        "response of a backend: property {} must be a number, not {}", each.getKey(), each.getValue());
            }
        }
        return switch (values.getOrDefault(STATUS, "")) {
            case SERVED -> new AttemptResult(AttemptStatus.SERVED, payload, quotaUsedPercent, actualUnits, loadReport);
            case REFUSED -> new AttemptResult(AttemptStatus.REJECTED, null, quotaUsedPercent, actualUnits, loadReport);
            default -> new AttemptResult(AttemptStatus.ERROR, null, quotaUsedPercent, actualUnits, loadReport);
        };
    }
}
