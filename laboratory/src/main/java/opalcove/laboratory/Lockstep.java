package opalcove.laboratory;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import opalcove.transport.DelegatingIoHandler;

/**
 * Has a metered loop look at its sockets only once all others have done what they can: it asks here before each look and is
 * answered when a whole look of every other loop found nothing left to read. What one turn takes in then hangs neither on
 * the machine's speed nor on what else it does. Work that a timer holds back is not waited for.
 */
final class Lockstep implements AutoCloseable {
    /** A loop that is not still by then is at work without end. */
    private static final long MAX_SECONDS = 30;

    /** Holds the load at what the nodes' report of 5 ms an ask allows, or the decision module would hold asks back. */
    private static final long MIN_IDLE_NS = 6_000_000;

    private final List<Still> others;
    private final ServerSocketChannel door;
    private final Thread thread;

    Lockstep(List<Still> others) throws IOException {
        this.others = others;
        door = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        thread = new Thread(this::serve, "lockstep");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return door.socket().getLocalPort();
    }

    private void serve() {
        ByteBuffer mark = ByteBuffer.allocateDirect(1);
        try (SocketChannel metered = door.accept()) {
            metered.socket().setTcpNoDelay(true);
            while (metered.read(mark.clear()) > 0) {
                for (Still each : others) {
                    each.untilStill();
                }
                metered.write(mark.flip());
            }
        } catch (IOException e) {
            // The metered process has ended, or this was closed: there is nobody to answer.
        }
    }

    @Override
    public void close() {
        try {
            door.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The metered loop's side. */
    static final class LockstepClient {
        private final SocketChannel line;
        private final ByteBuffer mark = ByteBuffer.allocateDirect(1);

        LockstepClient(int port) throws IOException {
            line = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            line.socket().setTcpNoDelay(true);
        }

        /** Comes back when nobody else has anything left to do, and not before the least rest. */
        void await() {
            LockSupport.parkNanos(MIN_IDLE_NS);
            try {
                mark.clear();
                mark.put((byte) 1).flip();
                line.write(mark);
                if (line.read(mark.clear()) < 0) {
                    throw new IllegalStateException("the laboratory has gone");
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** A loop of which can be asked when it has nothing left to read. */
    static final class Still {
        private final AtomicReference<CompletableFuture<Void>> asked = new AtomicReference<>();
        private volatile IoHandler handler;
        private final EventLoopGroup group;

        Still() {
            IoHandlerFactory plain = NioIoHandler.newFactory();
            group = new MultiThreadIoEventLoopGroup(1, executor -> {
                IoHandler made = new Watched(plain.newHandler(executor));
                handler = made;
                return made;
            });
            group.submit(() -> {}).syncUninterruptibly(); // a loop starts with its first task, and only then looks
        }

        EventLoopGroup group() {
            return group;
        }

        /** Waits until a whole look at its sockets found nothing to do. Not for the loop's own thread. */
        void untilStill() {
            CompletableFuture<Void> still = new CompletableFuture<>();
            asked.set(still);
            handler.wakeup();
            still.orTimeout(MAX_SECONDS, TimeUnit.SECONDS).join();
        }

        private final class Watched extends DelegatingIoHandler {
            private boolean hurried;

            Watched(IoHandler handler) {
                super(handler);
            }

            @Override
            public int run(IoHandlerContext context) {
                CompletableFuture<Void> still = asked.get();
                hurried = still != null;
                int handled = super.run(context);
                if (hurried && handled == 0 && asked.compareAndSet(still, null)) {
                    still.complete(null);
                }
                return handled;
            }

            /** A look that somebody asked for does not wait for anything. */
            @Override
            public boolean canBlock() {
                return !hurried && super.canBlock();
            }
        }
    }
}
