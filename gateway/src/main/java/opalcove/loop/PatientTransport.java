package opalcove.loop;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.util.concurrent.ThreadAwareExecutor;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import java.net.StandardSocketOptions;

/**
 * Vert.x's NIO transport, but for the last part of a millisecond before a timer is due. A selector waits in whole
 * milliseconds, and Netty rounds the wait to the nearest one: with less than half a millisecond to go its loop asks the
 * selector again and again until the time has come. Here it rounds up, so that the loop sleeps and a timer comes up to a
 * millisecond late. Guards the processor: on a part of a core those looks were most of all that the loop did.
 */
public class PatientTransport extends NioTransport {
    /** Netty adds as much again before it cuts to whole milliseconds, ns. */
    private static final long PART_NS = 499_999;

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        IoHandlerFactory plain = super.ioHandlerFactory();
        return executor -> new Patient(handler(plain, executor));
    }

    /**
     * Vert.x leaves SO_REUSEPORT to its native transports; the JDK has it on Linux. With it a new process of the gateway
     * listens at the port of the old one while that still serves.
     */
    @Override
    public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
        super.configure(options, domainSocket, bootstrap);
        if (options.isReusePort() && !domainSocket) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
    }

    /** The handler of a loop; a transport that looks at what loops do puts its own around it. */
    protected IoHandler handler(IoHandlerFactory plain, ThreadAwareExecutor executor) {
        return plain.newHandler(executor);
    }

    /** Hands its loop's handler a context in which what is to be waited for is a little further away. */
    private static final class Patient extends AroundHandler {
        Patient(IoHandler handler) {
            super(handler);
        }

        @Override
        public long delayNanos(long now) {
            return later(super.delayNanos(now));
        }

        /** What is due already is not put off, and no timer stays none. */
        private static long later(long delayNanos) {
            return delayNanos <= 0 || delayNanos > Long.MAX_VALUE - PART_NS ? delayNanos : delayNanos + PART_NS;
        }
    }
}
