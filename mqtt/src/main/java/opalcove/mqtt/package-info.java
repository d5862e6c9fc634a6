/**
 * MQTT 5 request/response: a server for clients, connections to backends that are MQTT servers, and the gateway that has both.
 * docs/mqtt.md has the form of the messages.
 */
package opalcove.mqtt;
