package opalcove.resp;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.util.function.Function;
import opalcove.backend.BackendConnection;
import opalcove.backend.Connector;
import opalcove.config.HostAndPort;
import opalcove.decision.DecisionSettings;

/** Opens RESP2 connections to backends. Owned by the event loop on which it is created. */
public final class RespConnector implements Connector {
    private final Vertx vertx;
    private final Function<String, SocketAddress> addressResolver;
    private final NetClient client;
    private final BackendReplyDecoder replyDecoder;
    private final MemoryBudget memory;

    /** Creates a connector with the connect timeout of the settings. */
    public RespConnector(Vertx vertx, DecisionSettings settings) {
        this(vertx, settings, MemoryBudget.ofThisProcess(vertx));
    }

    /** Creates a connector whose connections share this memory budget with the server. */
    public RespConnector(Vertx vertx, DecisionSettings settings, MemoryBudget memory) {
        this(vertx, settings, memory, address -> {
            HostAndPort backend = HostAndPort.parse(address, "address");
            return SocketAddress.inetSocketAddress(backend.port(), backend.address());
        });
    }

    /** Creates a connector; the resolver returns the socket address for an address of the endpoint list. */
    RespConnector(
            Vertx vertx,
            DecisionSettings settings,
            MemoryBudget memory,
            Function<String, SocketAddress> addressResolver) {
        this.vertx = vertx;
        this.memory = memory;
        this.addressResolver = addressResolver;
        replyDecoder = new BackendReplyDecoder(settings);
        client = vertx.createNetClient(
                new NetClientOptions().setReconnectAttempts(0).setConnectTimeout((int)
                        Math.max(1, settings.limits().connectTimeoutMs())));
    }

    @Override
    public Future<BackendConnection> connect(String address) {
        return client.connect(addressResolver.apply(address))
                .map(socket -> new RespBackendConnection(vertx, socket, replyDecoder, memory));
    }
}
