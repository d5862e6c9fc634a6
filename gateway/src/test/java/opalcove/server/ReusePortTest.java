package opalcove.server;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServerOptions;
import java.util.concurrent.TimeUnit;
import opalcove.lifecycle.Application;
import org.testng.annotations.Test;

/** A new process of the gateway must be able to listen at the port of the old process while that still serves. */
public class ReusePortTest {
    @Test
    public void twoEventLoopsListenAtOnePort() throws Exception {
        Vertx old = Application.createEventLoop();
        Vertx next = Application.createEventLoop();
        try {
            NetServerOptions options = new NetServerOptions().setReusePort(true).setReuseAddress(true);
            int port = old.createNetServer(options)
                    .connectHandler(socket -> {})
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            int second = next.createNetServer(options)
                    .connectHandler(socket -> {})
                    .listen(port, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            assertEquals(second, port);
        } finally {
            old.close();
            next.close();
        }
    }
}
