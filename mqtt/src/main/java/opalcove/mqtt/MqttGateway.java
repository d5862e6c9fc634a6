package opalcove.mqtt;

import io.vertx.core.Future;
import opalcove.backend.ConnectionPool;
import opalcove.backend.Connector;
import opalcove.config.Clock;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Application;
import opalcove.plan.PlanControlService;
import opalcove.resp.RespConnector;

/** The MQTT front by its settings file; its app nodes may be MQTT servers or speak RESP2. */
public final class MqttGateway {
    private MqttGateway() {}

    /** Starts the gateway; gives way at once, the program goes on by itself. */
    public static void start(MqttConfig config) {
        Application program = new Application();
        program.start(vertx -> {
            Connector mqtt = new MqttConnector(vertx, config.settings(), config.name());
            Connector resp = new RespConnector(vertx, config.settings());
            ConnectionPool links = new ConnectionPool(
                    vertx,
                    config.settings(),
                    address -> (address.startsWith(MqttConnector.SCHEME) ? mqtt : resp).connect(address),
                    config.mostLinks());
            Clock clock = new Clock();
            RequestDispatcher gateway =
                    new RequestDispatcher(vertx, clock, config.settings(), System.nanoTime(), links);
            MqttRequestServer front =
                    new MqttRequestServer(vertx, gateway, program.phases(), clock, config.maxClients());
            program.onShutdown(gateway, front::drain);
            gateway.endpointsChanged(true, config.backends());
            Future<Integer> desk = config.control() == null
                    ? Future.succeededFuture(0)
                    : new PlanControlService(vertx, gateway).listen(config.control());
            program.open(() -> desk.compose(opened -> front.listen(config.listen())));
        });
    }
}
