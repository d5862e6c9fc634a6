package opalcove.laboratory;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import opalcove.config.InvalidConfigurationException;

/**
 * Forwards datagrams between each pair of members. Each member advertises an address of this proxy, which loses, duplicates
 * and delays (and so reorders) datagrams by a seed, or cuts one direction of a pair. The address on which a member listens is
 * learned from the source of its datagrams. One thread forwards all datagrams, on loopback only.
 */
final class FaultProxy implements AutoCloseable {
    private static final int MAX_BYTES = 65_535;

    private record Delayed(long dueNanos, long order, DatagramChannel channel, byte[] bytes, String to) {}

    private final Selector selector = Selector.open();
    private final Map<String, DatagramChannel> channels = new HashMap<>();
    private final Map<String, SocketAddress> listenAddresses = new HashMap<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingLong(Delayed::dueNanos).thenComparingLong(Delayed::order));
    private final MessageFaults faults;
    private final Function<byte[], String> sender;
    private final Thread thread = new Thread(this::run, "fault-proxy");
    private long order;
    private long datagramsSent;
    private long bytesSent;

    /**
     * Starts a proxy without faults.
     *
     * @param seed the seed of the faults
     * @param sender returns the name of a datagram's sender, or throws {@link InvalidConfigurationException}, in which case
     *     the datagram is dropped
     */
    FaultProxy(long seed, Function<byte[], String> sender) throws IOException {
        this.sender = sender;
        faults = new MessageFaults(new SplittableRandom(seed), new MembershipModel.Net(0, 0, 0, 0));
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address that the given member must advertise; it is the same at each call. */
    synchronized String addressOf(String member) throws IOException {
        DatagramChannel channel = channels.get(member);
        if (channel == null) {
            channel = DatagramChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            channel.configureBlocking(false);
            channels.put(member, channel);
            selector.wakeup();
            channel.register(selector, SelectionKey.OP_READ, member);
        }
        InetSocketAddress address = (InetSocketAddress) channel.getLocalAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Sets the faults from now on between members that have no faults of their own. */
    synchronized void net(MembershipModel.Net next) {
        faults.net(next);
    }

    /** Sets the faults for all datagrams that one member sends and receives. */
    synchronized void net(String member, MembershipModel.Net own) {
        faults.net(member, own);
    }

    synchronized void cut(String from, String to) {
        faults.cut(from, to);
    }

    synchronized void heal() {
        faults.heal();
    }

    /** Returns the number of datagrams that members have sent so far. */
    synchronized long datagramsSent() {
        return datagramsSent;
    }

    /** Returns the number of bytes in the datagrams that members have sent so far. */
    synchronized long bytesSent() {
        return bytesSent;
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
        try {
            while (selector.isOpen()) {
                selector.select(waitMs());
                synchronized (this) {
                    for (SelectionKey key : selector.selectedKeys()) {
                        read((DatagramChannel) key.channel(), (String) key.attachment(), buffer);
                    }
                    selector.selectedKeys().clear();
                    while (!delayed.isEmpty() && delayed.peek().dueNanos() - System.nanoTime() <= 0) {
                        forward(delayed.poll());
                    }
                }
            }
        } catch (IOException | ClosedSelectorException e) {
            // The proxy is closed and forwards nothing more.
            return;
        }
    }

    private synchronized long waitMs() {
        return delayed.isEmpty()
                ? 0
                : Math.max(1, TimeUnit.NANOSECONDS.toMillis(delayed.peek().dueNanos() - System.nanoTime()));
    }

    private void read(DatagramChannel channel, String to, ByteBuffer buffer) throws IOException {
        for (buffer.clear(); ; buffer.clear()) {
            SocketAddress source = channel.receive(buffer);
            if (source == null) {
                return;
            }
            byte[] datagram = Arrays.copyOf(buffer.array(), buffer.position());
            String from;
            try {
                from = sender.apply(datagram);
            } catch (InvalidConfigurationException e) {
                continue;
            }
            listenAddresses.put(from, source);
            datagramsSent++;
            bytesSent += datagram.length;
            delay(channel, from, to, datagram);
        }
    }

    private void delay(DatagramChannel channel, String from, String to, byte[] datagram) {
        for (long ms : faults.delays(from, to)) {
            delayed.add(
                    new Delayed(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms), order++, channel, datagram, to));
        }
    }

    private void forward(Delayed each) {
        SocketAddress target = listenAddresses.get(each.to());
        if (target == null) {
            return;
        }
        try {
            each.channel().send(ByteBuffer.wrap(each.bytes()), target);
        } catch (IOException e) {
            // The receiving member has ended, so the datagram counts as lost.
            return;
        }
    }

    @Override
    public synchronized void close() throws IOException {
        selector.close();
        for (DatagramChannel channel : channels.values()) {
            channel.close();
        }
    }
}
