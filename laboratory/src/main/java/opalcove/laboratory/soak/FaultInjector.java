package opalcove.laboratory.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import opalcove.laboratory.soak.FaultShim.Call;
import opalcove.laboratory.soak.FaultShim.Errno;
import opalcove.laboratory.soak.FaultShim.Kind;
import opalcove.laboratory.soak.SoakBackend.Behaviour;

/** Injects the faults of a plan into the processes and connections of a run, each on its own thread. */
final class FaultInjector implements AutoCloseable {
    private static final int MAX_PAUSE_MS = 400;
    private static final long HOUR_MS = 3_600_000;

    private final SoakCluster cluster;
    private final List<Fault> injected = Collections.synchronizedList(new ArrayList<>());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<CompletableFuture<Void>> running = new ArrayList<>();

    FaultInjector(SoakCluster cluster) {
        this.cluster = cluster;
    }

    /** Schedules all faults; their start times count from this call. */
    void begin(List<Fault> faults) {
        double from = cluster.clock.now();
        for (Fault each : faults) {
            running.add(CompletableFuture.runAsync(() -> run(each, from), threads));
        }
    }

    /** Waits for the end of all faults, and returns those that were injected. */
    List<Fault> await() {
        running.forEach(CompletableFuture::join);
        return List.copyOf(injected);
    }

    private void run(Fault fault, double from) {
        try {
            sleep(from + fault.startMs() - cluster.clock.now());
            if (inject(fault)) {
                injected.add(fault);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new IllegalStateException(fault.toString(), e);
        }
    }

    private static void sleep(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) Math.max(0, ms * 1000));
    }

    private boolean inject(Fault fault) throws IOException, InterruptedException {
        return switch (fault.kind().target) {
            case GATEWAY -> injectAtGateway(fault);
            case BACKEND -> injectAtBackend(fault);
            case SYSTEM -> injectInSystem(fault);
        };
    }

    private boolean injectAtGateway(Fault fault) throws IOException, InterruptedException {
        int gateway = fault.target();
        switch (fault.kind()) {
            case GATEWAY_TERM -> restart(gateway, true);
            case GATEWAY_KILL -> restart(gateway, false);
            case GATEWAY_PAUSE -> pause(fault);
            case GATEWAY_RELOAD -> reload(fault);
            case LINK_CUT -> cutProxies(fault);
            case LINK_RESET ->
                during(
                        fault,
                        () -> cluster.proxies(gateway).forEach(proxy -> proxy.setResetShare(0.1 + 0.4 * fault.draw())),
                        () -> cluster.proxies(gateway).forEach(proxy -> proxy.setResetShare(0)));
            case LINK_PIECES ->
                during(
                        fault,
                        () -> cluster.proxies(gateway).forEach(proxy -> proxy.setSplitsResponses(true)),
                        () -> cluster.proxies(gateway).forEach(proxy -> proxy.setSplitsResponses(false)));
            case DISCOVERY_SILENT ->
                during(
                        fault,
                        () -> cluster.agents(gateway).forEach(agent -> agent.setSilent(true)),
                        () -> cluster.agents(gateway).forEach(agent -> agent.setSilent(false)));
            case DISCOVERY_REFUSED ->
                during(
                        fault,
                        () -> cluster.agents(gateway).forEach(agent -> agent.setRefusesConnections(true)),
                        () -> cluster.agents(gateway).forEach(agent -> agent.setRefusesConnections(false)));
            case WATCH_HUNG -> cluster.onLoop(() -> cluster.agents(gateway).forEach(DiscoveryAgent::hangWatches));
            case WATCH_RESET ->
                during(
                        fault,
                        () -> cluster.agents(gateway).forEach(agent -> {
                            agent.setCompleteLists(true);
                            agent.resetConnections();
                        }),
                        () -> cluster.agents(gateway).forEach(agent -> agent.setCompleteLists(false)));
            case LIST_TORN ->
                during(
                        fault,
                        () -> cluster.agents(gateway).forEach(agent -> agent.setTruncatesLists(true)),
                        () -> cluster.agents(gateway).forEach(agent -> agent.setTruncatesLists(false)));
            default ->
                during(fault, () -> cluster.traffic(gateway).setFault(fault.kind(), true), () -> cluster.traffic(
                                gateway)
                        .setFault(fault.kind(), false));
        }
        return true;
    }

    private void during(Fault fault, Runnable begin, Runnable end) throws InterruptedException {
        cluster.onLoop(begin);
        sleep(fault.lengthMs());
        cluster.onLoop(end);
    }

    private void restart(int gateway, boolean bySigterm) throws IOException, InterruptedException {
        synchronized (cluster.gateway(gateway)) {
            if (bySigterm) {
                cluster.gateway(gateway).terminate();
            } else {
                cluster.gateway(gateway).kill();
            }
            cluster.configure(gateway, false, 0);
            cluster.gateway(gateway).start();
        }
    }

    private void pause(Fault fault) throws InterruptedException {
        SplittableRandom random = new SplittableRandom((long) (fault.draw() * Long.MAX_VALUE));
        double endAt = cluster.clock.now() + fault.lengthMs();
        while (cluster.clock.now() < endAt) {
            cluster.gateway(fault.target()).signal("STOP");
            sleep(50 + random.nextInt(MAX_PAUSE_MS - 50));
            cluster.gateway(fault.target()).signal("CONT");
            sleep(100 + random.nextInt(500));
        }
    }

    private void reload(Fault fault) throws IOException, InterruptedException {
        int times = 1 + (int) (fault.draw() * 4);
        for (int i = 0; i < times; i++) {
            synchronized (cluster.gateway(fault.target())) {
                cluster.configure(fault.target(), true, i % 2);
                cluster.gateway(fault.target()).signal("HUP");
            }
            sleep((double) fault.lengthMs() / times);
        }
    }

    private void cutProxies(Fault fault) throws InterruptedException {
        List<BackendFaultProxy> all = cluster.proxies(fault.target());
        int count = Math.max(1, (int) (all.size() * (0.2 + 0.6 * fault.draw())));
        List<BackendFaultProxy> affected = all.subList(0, count);
        during(
                fault,
                () -> affected.forEach(proxy -> proxy.setCut(true)),
                () -> affected.forEach(proxy -> proxy.setCut(false)));
    }

    private boolean injectAtBackend(Fault fault) throws IOException, InterruptedException {
        int backend = fault.target();
        double share = 0.2 + 0.8 * fault.draw();
        switch (fault.kind()) {
            case BACKEND_KILL -> cluster.restartBackend(backend, fault.lengthMs());
            case BACKEND_PAUSE -> {
                cluster.backend(backend).signal("STOP");
                sleep(fault.lengthMs());
                cluster.backend(backend).signal("CONT");
            }
            case BACKEND_DRAIN -> {
                cluster.change(backend, "draining", false);
                if (comesBack(fault)) {
                    sleep(fault.lengthMs());
                    cluster.change(backend, "up", false);
                }
            }
            case BACKEND_REMOVE -> {
                cluster.change(backend, "removed", false);
                if (comesBack(fault)) {
                    sleep(fault.lengthMs());
                    cluster.change(backend, "up", true);
                }
            }
            case BACKEND_BUSY -> behave(fault, Behaviour.BUSY, share);
            case BACKEND_ERROR -> behave(fault, Behaviour.ERROR, share);
            case BACKEND_SLOW -> behave(fault, Behaviour.WORK, 100 + 1500 * fault.draw());
            case BACKEND_HANG -> behave(fault, Behaviour.HANG, share);
            case BACKEND_SPOILT -> behave(fault, Behaviour.SPOILT, share);
            case BACKEND_CLOSES -> behave(fault, Behaviour.CLOSES, share);
            case BACKEND_LONG -> behave(fault, Behaviour.LONG, share);
            default -> throw new IllegalStateException(fault.toString());
        }
        return true;
    }

    /**
     * Whether the backend is listed as up again at the end of the fault. Half of the drains and removals last until the
     * end of the run: a gateway that missed a change counts as notified only several seconds later, and a drain that
     * ends before that would hide a gateway that never closes a hung watch and still sends requests to the backend.
     */
    private static boolean comesBack(Fault fault) {
        return fault.draw() < 0.5;
    }

    private void behave(Fault fault, Behaviour behaviour, double value) throws InterruptedException {
        cluster.backend(fault.target()).behave(behaviour, value);
        sleep(fault.lengthMs());
        cluster.backend(fault.target()).behave(behaviour, behaviour.initial);
    }

    /** Returns whether the shim has failed at least one call or shifted at least one clock reading. */
    private boolean injectInSystem(Fault fault) throws InterruptedException {
        FaultShim shim = cluster.gateway(fault.target()).shim().orElse(null);
        if (shim == null) {
            return false;
        }
        long before = hits(shim);
        int oneIn = 2 + (int) (18 * fault.draw());
        switch (fault.kind()) {
            case CLOCK_STEP -> {
                shim.shiftClock(fault.draw() < 0.4 ? HOUR_MS : fault.draw() < 0.8 ? -HOUR_MS : 5000);
                sleep(fault.lengthMs());
                shim.shiftClock(0);
            }
            case ACCEPT_FAILS -> failCalls(fault, shim, Call.ACCEPT, List.of(Kind.CLIENT), oneIn, acceptError(fault));
            case SOCKET_FAILS ->
                failCalls(
                        fault,
                        shim,
                        Call.SOCKET,
                        List.of(Kind.BACKEND),
                        oneIn,
                        fault.draw() < 0.5 ? Errno.EMFILE : Errno.ENOBUFS);
            case CONNECT_FAILS ->
                failCalls(
                        fault,
                        shim,
                        Call.CONNECT,
                        List.of(Kind.BACKEND, Kind.DISCOVERY),
                        oneIn,
                        fault.draw() < 0.5 ? Errno.EADDRNOTAVAIL : Errno.ENETUNREACH);
            case READ_FAILS ->
                failCalls(
                        fault,
                        shim,
                        Call.READ,
                        List.of(Kind.BACKEND, Kind.DISCOVERY),
                        10 * oneIn,
                        fault.draw() < 0.5 ? Errno.ETIMEDOUT : Errno.EHOSTUNREACH);
            case SHORT_CALLS -> shortCalls(fault, shim);
            case WAIT_INTERRUPTED -> failCalls(fault, shim, Call.WAIT, List.of(Kind.FILE), 3, Errno.EINTR);
            default -> throw new IllegalStateException(fault.toString());
        }
        return hits(shim) > before;
    }

    private static Errno acceptError(Fault fault) {
        Errno[] errors = {Errno.ECONNABORTED, Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS};
        return errors[(int) (fault.draw() * 1000) % errors.length];
    }

    private static long hits(FaultShim shim) {
        return shim.clockHits()
                + shim.hits().values().stream().mapToLong(Long::longValue).sum();
    }

    private static void failCalls(Fault fault, FaultShim shim, Call call, List<Kind> kinds, int oneIn, Errno errno)
            throws InterruptedException {
        kinds.forEach(kind -> shim.fail(call, kind, oneIn, errno));
        sleep(fault.lengthMs());
        kinds.forEach(kind -> shim.stopFailing(call, kind));
    }

    private static void shortCalls(Fault fault, FaultShim shim) throws InterruptedException {
        List<Kind> kinds = List.of(Kind.CLIENT, Kind.BACKEND, Kind.DISCOVERY);
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            kinds.forEach(kind -> shim.fail(call, kind, 2, Errno.SHORT_TRANSFER));
        }
        sleep(fault.lengthMs());
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            kinds.forEach(kind -> shim.stopFailing(call, kind));
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
