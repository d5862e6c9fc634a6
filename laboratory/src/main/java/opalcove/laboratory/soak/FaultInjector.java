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

    private final SoakCluster rig;
    private final List<Fault> made = Collections.synchronizedList(new ArrayList<>());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<CompletableFuture<Void>> running = new ArrayList<>();

    FaultInjector(SoakCluster rig) {
        this.rig = rig;
    }

    /** Schedules all faults; their start times count from this call. */
    void begin(List<Fault> faults) {
        double from = rig.clock.now();
        for (Fault each : faults) {
            running.add(CompletableFuture.runAsync(() -> run(each, from), threads));
        }
    }

    /** Waits for the end of all faults, and returns those that were injected. */
    List<Fault> await() {
        running.forEach(CompletableFuture::join);
        return List.copyOf(made);
    }

    private void run(Fault fault, double from) {
        try {
            sleep(from + fault.startMs() - rig.clock.now());
            if (make(fault)) {
                made.add(fault);
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

    private boolean make(Fault fault) throws IOException, InterruptedException {
        return switch (fault.kind().place) {
            case GATEWAY -> makeAtGateway(fault);
            case BACKEND -> makeAtBackend(fault);
            case SYSTEM -> makeInSystem(fault);
        };
    }

    private boolean makeAtGateway(Fault fault) throws IOException, InterruptedException {
        int gateway = fault.target();
        switch (fault.kind()) {
            case GATEWAY_TERM -> restart(gateway, true);
            case GATEWAY_KILL -> restart(gateway, false);
            case GATEWAY_PAUSE -> pause(fault);
            case GATEWAY_RELOAD -> reload(fault);
            case LINK_CUT -> cut(fault);
            case LINK_RESET ->
                during(
                        fault,
                        () -> rig.connections(gateway)
                                .forEach(connection -> connection.resets(0.1 + 0.4 * fault.draw())),
                        () -> rig.connections(gateway).forEach(connection -> connection.resets(0)));
            case LINK_PIECES ->
                during(
                        fault,
                        () -> rig.connections(gateway).forEach(connection -> connection.pieces(true)),
                        () -> rig.connections(gateway).forEach(connection -> connection.pieces(false)));
            case DISCOVERY_SILENT ->
                during(fault, () -> rig.agents(gateway).forEach(agent -> agent.silent(true)), () -> rig.agents(gateway)
                        .forEach(agent -> agent.silent(false)));
            case DISCOVERY_REFUSED ->
                during(fault, () -> rig.agents(gateway).forEach(agent -> agent.refuse(true)), () -> rig.agents(gateway)
                        .forEach(agent -> agent.refuse(false)));
            case WATCH_HUNG -> rig.onLoop(() -> rig.agents(gateway).forEach(DiscoveryAgent::hang));
            case WATCH_RESET ->
                during(
                        fault,
                        () -> rig.agents(gateway).forEach(agent -> {
                            agent.wholeLists(true);
                            agent.resetConnections();
                        }),
                        () -> rig.agents(gateway).forEach(agent -> agent.wholeLists(false)));
            case LIST_TORN ->
                during(fault, () -> rig.agents(gateway).forEach(agent -> agent.torn(true)), () -> rig.agents(gateway)
                        .forEach(agent -> agent.torn(false)));
            default ->
                during(fault, () -> rig.traffic(gateway).manner(fault.kind(), true), () -> rig.traffic(gateway)
                        .manner(fault.kind(), false));
        }
        return true;
    }

    private void during(Fault fault, Runnable begin, Runnable end) throws InterruptedException {
        rig.onLoop(begin);
        sleep(fault.lengthMs());
        rig.onLoop(end);
    }

    private void restart(int gateway, boolean notified) throws IOException, InterruptedException {
        synchronized (rig.gateway(gateway)) {
            if (notified) {
                rig.gateway(gateway).end();
            } else {
                rig.gateway(gateway).kill();
            }
            rig.configure(gateway, false, 0);
            rig.gateway(gateway).start();
        }
    }

    private void pause(Fault fault) throws InterruptedException {
        SplittableRandom random = new SplittableRandom((long) (fault.draw() * Long.MAX_VALUE));
        double endAt = rig.clock.now() + fault.lengthMs();
        while (rig.clock.now() < endAt) {
            rig.gateway(fault.target()).signal("STOP");
            sleep(50 + random.nextInt(MAX_PAUSE_MS - 50));
            rig.gateway(fault.target()).signal("CONT");
            sleep(100 + random.nextInt(500));
        }
    }

    private void reload(Fault fault) throws IOException, InterruptedException {
        int times = 1 + (int) (fault.draw() * 4);
        for (int i = 0; i < times; i++) {
            synchronized (rig.gateway(fault.target())) {
                rig.configure(fault.target(), true, i % 2);
                rig.gateway(fault.target()).signal("HUP");
            }
            sleep((double) fault.lengthMs() / times);
        }
    }

    private void cut(Fault fault) throws InterruptedException {
        List<BackendConnection> all = rig.connections(fault.target());
        int count = Math.max(1, (int) (all.size() * (0.2 + 0.6 * fault.draw())));
        List<BackendConnection> cut = all.subList(0, count);
        during(
                fault,
                () -> cut.forEach(connection -> connection.cut(true)),
                () -> cut.forEach(connection -> connection.cut(false)));
    }

    private boolean makeAtBackend(Fault fault) throws IOException, InterruptedException {
        int backend = fault.target();
        double share = 0.2 + 0.8 * fault.draw();
        switch (fault.kind()) {
            case BACKEND_KILL -> rig.restartBackend(backend, fault.lengthMs());
            case BACKEND_PAUSE -> {
                rig.backend(backend).signal("STOP");
                sleep(fault.lengthMs());
                rig.backend(backend).signal("CONT");
            }
            case BACKEND_DRAIN -> {
                rig.change(backend, "draining", false);
                if (comesBack(fault)) {
                    sleep(fault.lengthMs());
                    rig.change(backend, "up", false);
                }
            }
            case BACKEND_REMOVE -> {
                rig.change(backend, "removed", false);
                if (comesBack(fault)) {
                    sleep(fault.lengthMs());
                    rig.change(backend, "up", true);
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
     * Whether the backend is listed as up again at the end of the fault. If not, it stays draining or removed for the
     * rest of the run, so that a later change of the list doesn't hide that a gateway missed this one.
     */
    private static boolean comesBack(Fault fault) {
        return fault.draw() < 0.5;
    }

    private void behave(Fault fault, Behaviour behaviour, double value) throws InterruptedException {
        rig.backend(fault.target()).behave(behaviour, value);
        sleep(fault.lengthMs());
        rig.backend(fault.target()).behave(behaviour, behaviour.first);
    }

    /** Returns whether the shim has failed at least one call or shifted at least one clock reading. */
    private boolean makeInSystem(Fault fault) throws InterruptedException {
        FaultShim shim = rig.gateway(fault.target()).shim().orElse(null);
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
            case ACCEPT_FAILS -> failing(fault, shim, Call.ACCEPT, List.of(Kind.CLIENT), oneIn, acceptError(fault));
            case SOCKET_FAILS ->
                failing(
                        fault,
                        shim,
                        Call.SOCKET,
                        List.of(Kind.BACKEND),
                        oneIn,
                        fault.draw() < 0.5 ? Errno.EMFILE : Errno.ENOBUFS);
            case CONNECT_FAILS ->
                failing(
                        fault,
                        shim,
                        Call.CONNECT,
                        List.of(Kind.BACKEND, Kind.DISCOVERY),
                        oneIn,
                        fault.draw() < 0.5 ? Errno.EADDRNOTAVAIL : Errno.ENETUNREACH);
            case READ_FAILS ->
                failing(
                        fault,
                        shim,
                        Call.READ,
                        List.of(Kind.BACKEND, Kind.DISCOVERY),
                        10 * oneIn,
                        fault.draw() < 0.5 ? Errno.ETIMEDOUT : Errno.EHOSTUNREACH);
            case SHORT_CALLS -> shortCalls(fault, shim);
            case WAIT_INTERRUPTED -> failing(fault, shim, Call.WAIT, List.of(Kind.FILE), 3, Errno.EINTR);
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

    private static void failing(Fault fault, FaultShim shim, Call call, List<Kind> kinds, int oneIn, Errno errno)
            throws InterruptedException {
        kinds.forEach(kind -> shim.fail(call, kind, oneIn, errno));
        sleep(fault.lengthMs());
        kinds.forEach(kind -> shim.heal(call, kind));
    }

    private static void shortCalls(Fault fault, FaultShim shim) throws InterruptedException {
        List<Kind> kinds = List.of(Kind.CLIENT, Kind.BACKEND, Kind.DISCOVERY);
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            kinds.forEach(kind -> shim.fail(call, kind, 2, Errno.SHORT_TRANSFER));
        }
        sleep(fault.lengthMs());
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            kinds.forEach(kind -> shim.heal(call, kind));
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
