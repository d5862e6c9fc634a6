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

/** Makes the troubles of a plan on the processes and connections of a run, each on a thread of its own. */
final class FaultInjector implements AutoCloseable {
    private static final int PAUSE_MOST_MS = 400;
    private static final long HOUR_MS = 3_600_000;

    private final SoakCluster rig;
    private final List<Fault> made = Collections.synchronizedList(new ArrayList<>());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<CompletableFuture<Void>> running = new ArrayList<>();

    FaultInjector(SoakCluster rig) {
        this.rig = rig;
    }

    /** Begins: each trouble comes at its time from now. */
    void begin(List<Fault> troubles) {
        double from = rig.clock.now();
        for (Fault each : troubles) {
            running.add(CompletableFuture.runAsync(() -> run(each, from), threads));
        }
    }

    /** Waits for the end of all troubles; those that were made. */
    List<Fault> await() {
        running.forEach(CompletableFuture::join);
        return List.copyOf(made);
    }

    private void run(Fault trouble, double from) {
        try {
            sleep(from + trouble.startMs() - rig.clock.now());
            if (make(trouble)) {
                made.add(trouble);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new IllegalStateException(trouble.toString(), e);
        }
    }

    private static void sleep(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) Math.max(0, ms * 1000));
    }

    private boolean make(Fault trouble) throws IOException, InterruptedException {
        return switch (trouble.kind().place) {
            case GATEWAY -> makeAtGateway(trouble);
            case BACKEND -> makeAtBackend(trouble);
            case SYSTEM -> makeInSystem(trouble);
        };
    }

    private boolean makeAtGateway(Fault trouble) throws IOException, InterruptedException {
        int gateway = trouble.target();
        switch (trouble.kind()) {
            case GATEWAY_TERM -> restart(gateway, true);
            case GATEWAY_KILL -> restart(gateway, false);
            case GATEWAY_PAUSE -> pause(trouble);
            case GATEWAY_RELOAD -> reload(trouble);
            case LINK_CUT -> cut(trouble);
            case LINK_RESET ->
                during(
                        trouble,
                        () -> rig.links(gateway).forEach(link -> link.resets(0.1 + 0.4 * trouble.draw())),
                        () -> rig.links(gateway).forEach(link -> link.resets(0)));
            case LINK_PIECES ->
                during(trouble, () -> rig.links(gateway).forEach(link -> link.pieces(true)), () -> rig.links(gateway)
                        .forEach(link -> link.pieces(false)));
            case DISCOVERY_SILENT ->
                during(trouble, () -> rig.agents(gateway).forEach(agent -> agent.silent(true)), () -> rig.agents(
                                gateway)
                        .forEach(agent -> agent.silent(false)));
            case DISCOVERY_REFUSED ->
                during(trouble, () -> rig.agents(gateway).forEach(agent -> agent.refuse(true)), () -> rig.agents(
                                gateway)
                        .forEach(agent -> agent.refuse(false)));
            case WATCH_HUNG -> rig.onLoop(() -> rig.agents(gateway).forEach(DiscoveryAgent::hang));
            case WATCH_RESET ->
                during(
                        trouble,
                        () -> rig.agents(gateway).forEach(agent -> {
                            agent.wholeLists(true);
                            agent.resetConnections();
                        }),
                        () -> rig.agents(gateway).forEach(agent -> agent.wholeLists(false)));
            case LIST_TORN ->
                during(trouble, () -> rig.agents(gateway).forEach(agent -> agent.torn(true)), () -> rig.agents(gateway)
                        .forEach(agent -> agent.torn(false)));
            default ->
                during(trouble, () -> rig.traffic(gateway).manner(trouble.kind(), true), () -> rig.traffic(gateway)
                        .manner(trouble.kind(), false));
        }
        return true;
    }

    private void during(Fault trouble, Runnable begin, Runnable end) throws InterruptedException {
        rig.onLoop(begin);
        sleep(trouble.lengthMs());
        rig.onLoop(end);
    }

    private void restart(int gateway, boolean told) throws IOException, InterruptedException {
        synchronized (rig.gateway(gateway)) {
            if (told) {
                rig.gateway(gateway).end();
            } else {
                rig.gateway(gateway).kill();
            }
            rig.configure(gateway, false, 0);
            rig.gateway(gateway).start();
        }
    }

    private void pause(Fault trouble) throws InterruptedException {
        SplittableRandom random = new SplittableRandom((long) (trouble.draw() * Long.MAX_VALUE));
        double endAt = rig.clock.now() + trouble.lengthMs();
        while (rig.clock.now() < endAt) {
            rig.gateway(trouble.target()).signal("STOP");
            sleep(50 + random.nextInt(PAUSE_MOST_MS - 50));
            rig.gateway(trouble.target()).signal("CONT");
            sleep(100 + random.nextInt(500));
        }
    }

    private void reload(Fault trouble) throws IOException, InterruptedException {
        int times = 1 + (int) (trouble.draw() * 4);
        for (int i = 0; i < times; i++) {
            synchronized (rig.gateway(trouble.target())) {
                rig.configure(trouble.target(), true, i % 2);
                rig.gateway(trouble.target()).signal("HUP");
            }
            sleep((double) trouble.lengthMs() / times);
        }
    }

    private void cut(Fault trouble) throws InterruptedException {
        List<BackendConnection> all = rig.links(trouble.target());
        int count = Math.max(1, (int) (all.size() * (0.2 + 0.6 * trouble.draw())));
        List<BackendConnection> cut = all.subList(0, count);
        during(trouble, () -> cut.forEach(link -> link.cut(true)), () -> cut.forEach(link -> link.cut(false)));
    }

    private boolean makeAtBackend(Fault trouble) throws IOException, InterruptedException {
        int backend = trouble.target();
        double share = 0.2 + 0.8 * trouble.draw();
        switch (trouble.kind()) {
            case BACKEND_KILL -> rig.restartBackend(backend, trouble.lengthMs());
            case BACKEND_PAUSE -> {
                rig.backend(backend).signal("STOP");
                sleep(trouble.lengthMs());
                rig.backend(backend).signal("CONT");
            }
            case BACKEND_DRAIN -> {
                rig.change(backend, "draining", false);
                if (comesBack(trouble)) {
                    sleep(trouble.lengthMs());
                    rig.change(backend, "up", false);
                }
            }
            case BACKEND_REMOVE -> {
                rig.change(backend, "removed", false);
                if (comesBack(trouble)) {
                    sleep(trouble.lengthMs());
                    rig.change(backend, "up", true);
                }
            }
            case BACKEND_BUSY -> behave(trouble, Behaviour.BUSY, share);
            case BACKEND_ERROR -> behave(trouble, Behaviour.ERROR, share);
            case BACKEND_SLOW -> behave(trouble, Behaviour.WORK, 100 + 1500 * trouble.draw());
            case BACKEND_HANG -> behave(trouble, Behaviour.HANG, share);
            case BACKEND_SPOILT -> behave(trouble, Behaviour.SPOILT, share);
            case BACKEND_CLOSES -> behave(trouble, Behaviour.CLOSES, share);
            case BACKEND_LONG -> behave(trouble, Behaviour.LONG, share);
            default -> throw new IllegalStateException(trouble.toString());
        }
        return true;
    }

    /** One that does not is drained or gone for the rest of the run, which what was missed of the list has to outlast. */
    private static boolean comesBack(Fault trouble) {
        return trouble.draw() < 0.5;
    }

    private void behave(Fault trouble, Behaviour behaviour, double value) throws InterruptedException {
        rig.backend(trouble.target()).behave(behaviour, value);
        sleep(trouble.lengthMs());
        rig.backend(trouble.target()).behave(behaviour, behaviour.first);
    }

    /** Gives whether the shim has hit. */
    private boolean makeInSystem(Fault trouble) throws InterruptedException {
        FaultShim shim = rig.gateway(trouble.target()).shim().orElse(null);
        if (shim == null) {
            return false;
        }
        long before = hits(shim);
        int oneIn = 2 + (int) (18 * trouble.draw());
        switch (trouble.kind()) {
            case CLOCK_STEP -> {
                shim.shiftClock(trouble.draw() < 0.4 ? HOUR_MS : trouble.draw() < 0.8 ? -HOUR_MS : 5000);
                sleep(trouble.lengthMs());
                shim.shiftClock(0);
            }
            case ACCEPT_FAILS -> failing(trouble, shim, Call.ACCEPT, List.of(Kind.CLIENT), oneIn, acceptError(trouble));
            case SOCKET_FAILS ->
                failing(
                        trouble,
                        shim,
                        Call.SOCKET,
                        List.of(Kind.BACKEND),
                        oneIn,
                        trouble.draw() < 0.5 ? Errno.EMFILE : Errno.ENOBUFS);
            case CONNECT_FAILS ->
                failing(
                        trouble,
                        shim,
                        Call.CONNECT,
                        List.of(Kind.BACKEND, Kind.DISCOVERY),
                        oneIn,
                        trouble.draw() < 0.5 ? Errno.EADDRNOTAVAIL : Errno.ENETUNREACH);
            case READ_FAILS ->
                failing(
                        trouble,
                        shim,
                        Call.READ,
                        List.of(Kind.BACKEND, Kind.DISCOVERY),
                        10 * oneIn,
                        trouble.draw() < 0.5 ? Errno.ETIMEDOUT : Errno.EHOSTUNREACH);
            case SHORT_CALLS -> shortCalls(trouble, shim);
            case WAIT_INTERRUPTED -> failing(trouble, shim, Call.WAIT, List.of(Kind.FILE), 3, Errno.EINTR);
            default -> throw new IllegalStateException(trouble.toString());
        }
        return hits(shim) > before;
    }

    private static Errno acceptError(Fault trouble) {
        Errno[] errors = {Errno.ECONNABORTED, Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS};
        return errors[(int) (trouble.draw() * 1000) % errors.length];
    }

    private static long hits(FaultShim shim) {
        return shim.clockHits()
                + shim.hits().values().stream().mapToLong(Long::longValue).sum();
    }

    private static void failing(Fault trouble, FaultShim shim, Call call, List<Kind> kinds, int oneIn, Errno errno)
            throws InterruptedException {
        kinds.forEach(kind -> shim.fail(call, kind, oneIn, errno));
        sleep(trouble.lengthMs());
        kinds.forEach(kind -> shim.heal(call, kind));
    }

    private static void shortCalls(Fault trouble, FaultShim shim) throws InterruptedException {
        List<Kind> kinds = List.of(Kind.CLIENT, Kind.BACKEND, Kind.DISCOVERY);
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            kinds.forEach(kind -> shim.fail(call, kind, 2, Errno.SHORT_TRANSFER));
        }
        sleep(trouble.lengthMs());
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            kinds.forEach(kind -> shim.heal(call, kind));
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
