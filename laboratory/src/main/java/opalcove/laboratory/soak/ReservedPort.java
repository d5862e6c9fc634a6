package opalcove.laboratory.soak;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;

/**
 * A loopback port that stays reserved for a run while no process listens on it. Without the reservation the system
 * could give the port to another process, and clients that still connect to it would reach that process. The socket
 * that reserves the port doesn't listen, so connections are refused meanwhile. A server listens on the port with the
 * option {@link #REUSE_PORT}.
 */
final class ReservedPort implements AutoCloseable {
    /** The option that allows a server to listen on a reserved port. */
    static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

    private final Socket holder = new Socket();

    ReservedPort() throws IOException {
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
