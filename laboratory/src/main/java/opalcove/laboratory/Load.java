package opalcove.laboratory;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Puts load on a gateway's front from one thread and tells how its asks were answered. An open loop measures each answer
 * from when its ask was due, so an ask that could not go out in time counts its delay (no coordinated omission).
 */
public final class Load implements AutoCloseable {
    /** Latencies above this count as this, ns. */
    private static final long MAX_NS = TimeUnit.SECONDS.toNanos(60);

    private static final long PROGRESS_MS = 1000;

    /** How an ask was answered. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    /** One connection on some wire. */
    interface Wire {
        /** Writes an ask, without flushing. */
        void request(Channel channel, long number, long startedAt);
    }

    private final EventLoopGroup group;
    private final LoadPlan plan;
    private final Consumer<String> progress;
    private final List<Channel> channels = new ArrayList<>();
    private final List<Wire> wires = new ArrayList<>();
    private final RequestGenerator requests;
    private Histogram latency;
    private CompletableFuture<Void> done;
    private long due;
    private long sent;
    private long served;
    private long refused;
    private long failed;
    private long numbers;
    private int next;

    /** Opens the plan's connections. Progress lines come about once a second while a run lasts. */
    public Load(LoadPlan plan, Consumer<String> progress) throws Exception {
        this(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), plan, progress);
    }

    /** On a loop that becomes this load's own. */
    Load(EventLoopGroup group, LoadPlan plan, Consumer<String> progress) throws Exception {
        this.group = group;
        this.plan = plan;
        this.progress = progress;
        requests = new RequestGenerator(plan);
        for (int i = 0; i < plan.connections(); i++) {
            CompletableFuture<Wire> ready = new CompletableFuture<>();
            Bootstrap bootstrap = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            if (plan.mqtt()) {
                                MqttWire.open(channel, "load-" + channels.size(), requests, Load.this::answered, ready);
                            } else {
                                RespWire.open(channel, requests, Load.this::answered, ready);
                            }
                        }
                    });
            channels.add(bootstrap.connect(plan.host(), plan.port()).sync().channel());
            wires.add(ready.get(10, TimeUnit.SECONDS));
        }
    }

    /** Asks so many and waits for their answers. Fails where a connection ends, or nothing comes for long. */
    public LoadReport run(int number) throws Exception {
        done = new CompletableFuture<>();
        latency = new Histogram(MAX_NS, 3);
        due = number;
        sent = served = refused = failed = 0;
        long startedAt = System.nanoTime();
        group.execute(() -> {
            if (plan.rate() > 0) {
                pace(startedAt);
            } else {
                for (int i = 0; i < channels.size(); i++) {
                    fill(i, plan.depth());
                }
            }
        });
        long last = -1;
        while (!done.isDone()) {
            try {
                done.get(PROGRESS_MS, TimeUnit.MILLISECONDS);
            } catch (java.util.concurrent.TimeoutException e) {
                long now = served + refused + failed;
                progress.accept(now + " of " + number + " asks answered");
                if (now == last && (System.nanoTime() - startedAt) / 1_000_000 > 2L * plan.waitMs()) {
                    throw new IllegalStateException("no answers any more, at " + now + " of " + number, e);
                }
                last = now;
            }
        }
        done.get();
        return new LoadReport(served, refused, failed, (System.nanoTime() - startedAt) / 1e9, latency);
    }

    /** Sends what is due by now, and comes again in a millisecond. */
    private void pace(long startedAt) {
        long dueNow = Math.min(due, (long) ((System.nanoTime() - startedAt) / 1e9 * plan.rate()) + 1);
        while (sent < dueNow) {
            int i = next++ % channels.size();
            wires.get(i).request(channels.get(i), numbers++, startedAt + (long) (sent++ / plan.rate() * 1e9));
        }
        channels.forEach(Channel::flush);
        if (sent < due) {
            group.schedule(() -> pace(startedAt), 1, TimeUnit.MILLISECONDS);
        }
    }

    private void fill(int i, int number) {
        for (int k = 0; k < number && sent < due; k++) {
            sent++;
            wires.get(i).request(channels.get(i), numbers++, System.nanoTime());
        }
        channels.get(i).flush();
    }

    /** Answers that one read of a connection brought; a closed loop sends as many again, together. */
    private void answered(Channel channel, Answer[] answers, long[] startedAt, int number) {
        long now = System.nanoTime();
        for (int k = 0; k < number; k++) {
            switch (answers[k]) {
                case SERVED -> served++;
                case REFUSED -> refused++;
                default -> failed++;
            }
            latency.recordValue(Math.min(MAX_NS, now - startedAt[k]));
        }
        if (plan.rate() == 0 && sent < due) {
            fill(channels.indexOf(channel), number);
        }
        if (served + refused + failed == due) {
            done.complete(null);
        }
    }

    /** Takes in what one read of a connection brought. */
    interface Answers {
        void take(Channel channel, Answer[] answers, long[] startedAt, int number);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
