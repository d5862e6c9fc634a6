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
    public void listensAtSamePortWithTwoEventLoops() throws Exception {
        Vertx oldEventLoop = Application.createEventLoop();
        Vertx newEventLoop = Application.createEventLoop();
        try {
            NetServerOptions options = new NetServerOptions().setReusePort(true).setReuseAddress(true);
            int firstPort = oldEventLoop
                    .createNetServer(options)
                    .connectHandler(socket -> {})
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            int secondPort = newEventLoop
                    .createNetServer(options)
                    .connectHandler(socket -> {})
                    .listen(firstPort, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            assertEquals(secondPort, firstPort);
        } finally {
            oldEventLoop.close();
            newEventLoop.close();
        }
    }
}
