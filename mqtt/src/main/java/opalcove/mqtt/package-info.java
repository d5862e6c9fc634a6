/**
 * MQTT 5 request/response: a server for clients, connections to backends that are MQTT servers, and the gateway that uses
 * both. docs/mqtt.md specifies the format of the messages.
 */
package opalcove.mqtt;
