package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttProperty;
import io.netty.handler.codec.mqtt.MqttProperties.StringPair;
import java.util.HashMap;
import java.util.Map;

/** Reads the properties of MQTT 5 packets. */
final class PropertyReader {
    private PropertyReader() {}

    /** Returns the user properties by name; if a name occurs more than once, its last value applies. */
    static Map<String, String> userProperties(MqttProperties properties) {
        Map<String, String> values = new HashMap<>();
        for (MqttProperty<?> each : properties.getProperties(MqttProperties.USER_PROPERTY)) {
            if (each.value() instanceof StringPair pair) {
                values.put(pair.key, pair.value);
            }
        }
        return values;
    }

    /** Returns a text property; null if it is absent. */
    static String text(MqttProperties properties, int propertyId) {
        MqttProperty<?> property = properties.getProperty(propertyId);
        return property == null ? null : (String) property.value();
    }

    /** Returns a property of binary data; null if it is absent. */
    static byte[] bytes(MqttProperties properties, int propertyId) {
        MqttProperty<?> property = properties.getProperty(propertyId);
        return property == null ? null : (byte[]) property.value();
    }

    /** Returns an integer property of up to 32 unsigned bits; null if it is absent. */
    static Integer number(MqttProperties properties, int propertyId) {
        MqttProperty<?> property = properties.getProperty(propertyId);
        return property == null ? null : (Integer) property.value();
    }
}
