package opalcove.mqtt;

import io.vertx.core.Future;
import opalcove.backend.ConnectionPool;
import opalcove.backend.Connector;
import opalcove.config.Clock;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Application;
import opalcove.plan.PlanControlService;
import opalcove.resp.RespConnector;

/** The gateway for MQTT clients; its backends are MQTT 5 or RESP2 servers. */
public final class MqttGateway {
    private MqttGateway() {}

    /** Starts the gateway, which runs until the process ends, and returns immediately. */
    public static void start(MqttConfig config) {
        Application application = new Application();
        application.start(vertx -> {
            Connector mqtt = new MqttConnector(vertx, config.settings(), config.name());
            Connector resp = new RespConnector(vertx, config.settings());
            ConnectionPool connections = new ConnectionPool(
                    vertx,
                    config.settings(),
                    address -> (address.startsWith(MqttConnector.SCHEME) ? mqtt : resp).connect(address),
                    config.maxBackendConnections());
            Clock clock = new Clock();
            RequestDispatcher dispatcher =
                    new RequestDispatcher(vertx, clock, config.settings(), System.nanoTime(), connections);
            MqttRequestServer server =
                    new MqttRequestServer(vertx, dispatcher, application.phases(), clock, config.maxClients());
            application.onShutdown(dispatcher, server::drain);
            dispatcher.endpointsChanged(true, config.backends());
            Future<Integer> planService = config.control() == null
                    ? Future.succeededFuture(0)
                    : new PlanControlService(vertx, dispatcher).listen(config.control());
            application.open(() -> planService.compose(opened -> server.listen(config.listen())));
        });
    }
}
