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
        int node = Integer.parseInt(args[1]);
        vertx.runOnContext(start -> {
            NetClient client = vertx.createNetClient();
            vertx.createNetServer()
                    .connectHandler(terminal -> {
                        terminal.pause();
                        client.connect(node, "127.0.0.1")
                                .onFailure(e -> terminal.close())
                                .onSuccess(line -> {
                                    join(terminal, line);
                                    join(line, terminal);
                                    terminal.resume();
                                });
                    })
                    .listen(port, "127.0.0.1");
        });
    }

    private static void join(NetSocket from, NetSocket to) {
        from.handler(to::write);
        from.closeHandler(closed -> to.close());
        from.exceptionHandler(e -> to.close());
    }
}
