package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttProperty;
import io.netty.handler.codec.mqtt.MqttProperties.StringPair;
import java.util.HashMap;
import java.util.Map;

/** Reads the properties of MQTT 5 packets. */
final class PropertyReader {
    private PropertyReader() {}

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

    /** A text, or null if it is absent. */
    static String text(MqttProperties properties, int id) {
        MqttProperty<?> property = properties.getProperty(id);
        return property == null ? null : (String) property.value();
    }

    /** Binary data, or null if it is absent. */
    static byte[] bytes(MqttProperties properties, int id) {
        MqttProperty<?> property = properties.getProperty(id);
        return property == null ? null : (byte[]) property.value();
    }

    /** A number of up to 32 unsigned bits, or null if it is absent. */
    static Integer number(MqttProperties properties, int id) {
        MqttProperty<?> property = properties.getProperty(id);
        return property == null ? null : (Integer) property.value();
    }
}
