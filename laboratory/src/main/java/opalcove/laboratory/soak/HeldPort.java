package opalcove.laboratory.soak;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;

/**
 * A loopback port that stays a run's own while nobody listens there, so that no other process is given it and no other is
 * called by who goes on calling it. The socket that holds it does not listen: connections are refused meanwhile. Who listens
 * there does so with {@link #SHARED}.
 */
final class HeldPort implements AutoCloseable {
    /** The option by which a server may listen at a held port. */
    static final ChannelOption<Boolean> SHARED = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

    private final Socket holder = new Socket();

    HeldPort() throws IOException {
        holder.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    int number() {
        return holder.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        holder.close();
    }
}
