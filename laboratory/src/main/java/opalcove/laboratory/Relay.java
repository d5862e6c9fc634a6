package opalcove.laboratory;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;

/**
 * Copies the bytes of each client connection to a separate backend connection and back, and does nothing else. Its
 * cost is the lower bound for a gateway on the same library. Arguments: the port to listen on and the port of the
 * backend.
 */
public final class Relay {
    private Relay() {}

    /** Copies bytes between clients and one backend until the process ends. */
    public static void main(String[] args) {
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        int port = Integer.parseInt(args[0]);
        int backendPort = Integer.parseInt(args[1]);
        vertx.runOnContext(start -> {
            NetClient client = vertx.createNetClient();
            vertx.createNetServer()
                    .connectHandler(clientSocket -> {
                        clientSocket.pause();
                        client.connect(backendPort, "127.0.0.1")
                                .onFailure(e -> clientSocket.close())
                                .onSuccess(backendSocket -> {
                                    copy(clientSocket, backendSocket);
                                    copy(backendSocket, clientSocket);
                                    clientSocket.resume();
                                });
                    })
                    .listen(port, "127.0.0.1");
        });
    }

    private static void copy(NetSocket from, NetSocket to) {
        from.handler(to::write);
        from.closeHandler(closed -> to.close());
        from.exceptionHandler(e -> to.close());
    }
}
