package opalcove.laboratory.soak;

import com.eclipsesource.json.JsonObject;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The processes of one run, the fault proxies between them and the discovery agents. */
final class SoakCluster implements AutoCloseable {
    private static final int LAG_CHECK_INTERVAL_MS = 5;
    private static final int SAMPLE_INTERVAL_MS = 100;
    /** A stall of the recording thread of at most this long is ignored, ms. */
    private static final double MIN_LAG_MS = 3;

    final SoakClock clock = new SoakClock();
    final History history = new History();
    final List<SoakBackendLocation> locations = new ArrayList<>();
    private final List<SoakViolation> processViolations = Collections.synchronizedList(new ArrayList<>());
    private final SoakPlan plan;
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Fleet fleet;
    private final List<BackendProcess> backends = new ArrayList<>();
    private final List<GatewayProcess> gateways = new ArrayList<>();
    /** Is cancelled at the end of the run; otherwise it would add a lag to the history while the oracle reads it. */
    private final ScheduledFuture<?> lagWatch;

    private final List<List<BackendFaultProxy>> proxies = new ArrayList<>();
    private final List<List<DiscoveryAgent>> agents = new ArrayList<>();
    private final List<Traffic> traffics = new ArrayList<>();
    private final int[] followedAgent;
    /**
     * Shutdown hook that kills the processes; without it they would outlive a soak that is terminated or exits early.
     */
    private final Thread killHook = new Thread(this::killAll, "kill-processes");

    /** Starts all processes; the gateways' wall clocks are {@code clockAheadMs} ahead from their start on. */
    SoakCluster(SoakPlan plan, Path folder, GatewayProcess.ProgramFiles programFiles, long clockAheadMs)
            throws Exception {
        this.plan = plan;
        followedAgent = new int[plan.gateways()];
        for (int i = 0; i < plan.backends(); i++) {
            locations.add(new SoakBackendLocation("room-" + (char) ('a' + i % 2), i / 3));
        }
        fleet = new Fleet(locations);
        Runtime.getRuntime().addShutdownHook(killHook);
        startBackends(folder);
        for (int i = 0; i < plan.gateways(); i++) {
            connect(i, folder, programFiles);
        }
        gateways.forEach(each -> each.shim().ifPresent(shim -> shim.shiftClock(clockAheadMs)));
        startGateways();
        lagWatch = loop.scheduleAtFixedRate(
                new LagWatch(), LAG_CHECK_INTERVAL_MS, LAG_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        Thread sampling = new Thread(this::sampleDescriptors, "descriptors");
        sampling.setDaemon(true);
        sampling.start();
    }

    private void killAll() {
        gateways.forEach(GatewayProcess::destroy);
        backends.forEach(BackendProcess::kill);
    }

    private void startBackends(Path folder) throws Exception {
        for (int i = 0; i < plan.backends(); i++) {
            backends.add(new BackendProcess("backend-" + i, folder.resolve("backend-" + i + ".log")));
        }
        forAll(backends, BackendProcess::start);
    }

    private void connect(int gateway, Path folder, GatewayProcess.ProgramFiles programFiles) throws IOException {
        List<BackendFaultProxy> ofGateway = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < backends.size(); i++) {
            BackendFaultProxy proxy =
                    new BackendFaultProxy(gateway, i, loop, clock, history, plan.seed() * 1000 + gateway * 50 + i);
            proxy.open(backends.get(i).port());
            ofGateway.add(proxy);
            addresses.add(proxy.address());
        }
        proxies.add(ofGateway);
        List<DiscoveryAgent> pair = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            DiscoveryAgent agent =
                    new DiscoveryAgent(gateway, fleet, addresses, plan.setup().pushed(), loop, clock, history);
            agent.open();
            pair.add(agent);
        }
        agents.add(pair);
        GatewayProcess process = new GatewayProcess(gateway, plan, folder, clock, programFiles, processViolations);
        process.shim()
                .ifPresent(shim ->
                        shim.discoveryPorts(pair.get(0).port(), pair.get(1).port()));
        gateways.add(process);
        traffics.add(new Traffic(gateway, process.port(), plan, process, loop, clock, history));
    }

    private void startGateways() throws Exception {
        for (int i = 0; i < gateways.size(); i++) {
            configure(i, false, 0);
        }
        forAll(gateways, GatewayProcess::start);
    }

    /** What is done to each of several processes at once. */
    private interface Action<T> {
        void to(T process) throws Exception;
    }

    private static <T> void forAll(List<T> all, Action<T> action) {
        List<CompletableFuture<Void>> running = new ArrayList<>();
        for (T each : all) {
            running.add(CompletableFuture.runAsync(() -> {
                try {
                    action.to(each);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        running.forEach(CompletableFuture::join);
    }

    /**
     * Writes a gateway's configuration file. If {@code move} is set, the file names the other one of the gateway's two
     * discovery agents. {@code moreAttempts} is added to the limit of attempts.
     */
    void configure(int gateway, boolean move, int moreAttempts) throws IOException {
        if (move) {
            followedAgent[gateway] = 1 - followedAgent[gateway];
        }
        List<DiscoveryAgent> pair = agents.get(gateway);
        int now = followedAgent[gateway];
        onLoop(() -> {
            pair.get(1 - now).setFollowed(false, false);
            pair.get(now).setFollowed(true, move);
        });
        List<String> addresses =
                proxies.get(gateway).stream().map(BackendFaultProxy::address).toList();
        CompletableFuture<JsonObject> known = new CompletableFuture<>();
        loop.execute(() -> known.complete(fleet.snapshot(addresses, true)));
        gateways.get(gateway).configure(pair.get(now).port(), plan.setup().maxAttempts() + moreAttempts, known.join());
    }

    GatewayProcess gateway(int number) {
        return gateways.get(number);
    }

    BackendProcess backend(int number) {
        return backends.get(number);
    }

    List<BackendFaultProxy> proxies(int gateway) {
        return proxies.get(gateway);
    }

    List<DiscoveryAgent> agents(int gateway) {
        return agents.get(gateway);
    }

    Traffic traffic(int gateway) {
        return traffics.get(gateway);
    }

    /** Runs the action on the event loop and waits for its end. */
    void onLoop(Runnable work) {
        loop.submit(work).syncUninterruptibly();
    }

    /** Changes a backend's status in discovery's list; {@code started} also sets its start time to now. */
    void change(int backend, String status, boolean started) {
        onLoop(() -> {
            double now = clock.now();
            long sinceMs = started ? System.currentTimeMillis() : fleet.entry(backend).sinceMs;
            history.changes.add(new History.Change(backend, status.equals("up"), now, plan.gateways()));
            if (started) {
                history.starts
                        .computeIfAbsent(backend, none -> new ArrayList<>())
                        .add(now);
            }
            fleet.change(backend, status, sinceMs);
        });
    }

    /**
     * Kills a backend and starts it again after {@code outageMs}. It stays in the list, which then shows the new start
     * time.
     */
    void restartBackend(int backend, int outageMs) throws IOException, InterruptedException {
        synchronized (backends.get(backend)) {
            backends.get(backend).kill();
            onLoop(() -> proxies.forEach(ofGateway -> ofGateway.get(backend).close()));
            TimeUnit.MILLISECONDS.sleep(outageMs);
            int port = backends.get(backend).start();
            onLoop(() -> proxies.forEach(ofGateway -> ofGateway.get(backend).open(port)));
            change(backend, fleet.entry(backend).status, true);
        }
    }

    void startTraffic() {
        onLoop(() -> traffics.forEach(Traffic::start));
    }

    void stopTraffic() {
        onLoop(() -> traffics.forEach(Traffic::stop));
    }

    /**
     * Terminates all gateways by SIGTERM, checks their logs and stops recording. The history doesn't change afterwards.
     */
    void end() throws Exception {
        forAll(gateways, GatewayProcess::terminate);
        for (GatewayProcess each : gateways) {
            each.checkLog();
        }
        onLoop(() -> {
            lagWatch.cancel(false);
            history.processViolations.addAll(processViolations);
        });
    }

    private void sampleDescriptors() {
        try {
            while (true) {
                gateways.forEach(GatewayProcess::checkDescriptors);
                TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records when the event loop, whose thread records all times, was stalled. */
    private final class LagWatch implements Runnable {
        private double lastAt = clock.now();

        @Override
        public void run() {
            double now = clock.now();
            double lag = now - lastAt - LAG_CHECK_INTERVAL_MS;
            if (lag > MIN_LAG_MS) {
                history.lag(now, lag);
            }
            lastAt = now;
        }
    }

    @Override
    public void close() throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(killHook);
        } catch (IllegalStateException endsAlready) {
            // The JVM is shutting down, and the hook kills the processes.
        }
        for (GatewayProcess each : gateways) {
            each.close();
        }
        for (BackendProcess each : backends) {
            each.close();
        }
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        for (List<BackendFaultProxy> ofGateway : proxies) {
            for (BackendFaultProxy each : ofGateway) {
                each.release();
            }
        }
        for (List<DiscoveryAgent> pair : agents) {
            for (DiscoveryAgent each : pair) {
                each.release();
            }
        }
    }
}
