package opalcove.laboratory.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Controls the library {@code fault_shim.c} in one gateway process through a file that both processes map. The library
 * is built by the machine's C compiler when a soak is created.
 */
final class FaultShim {
    /** The calls that can be made to fail, in the order of the library's {@code enum call}. */
    enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        READ,
        WRITE,
        WAIT,
        CLOSE,
        SYNC
    }

    /** The kind of descriptor that a call uses, in the order of the library's {@code enum kind}. */
    enum Kind {
        FILE,
        CLIENT,
        BACKEND,
        DISCOVERY
    }

    /** The errors that calls fail with, by their Linux numbers. */
    enum Errno {
        SHORT_TRANSFER(0),
        EINTR(4),
        EIO(5),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ECONNRESET(104),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final int CLOCK_HITS_OFFSET = 8;
    private static final int PORTS_OFFSET = 16;
    private static final int MAX_PORTS = 4;
    private static final int RULES_OFFSET = 32;
    private static final int RULE_BYTES = 16;
    private static final int HITS_OFFSET_IN_RULE = 8;
    private static final int CONTROL_BYTES = RULES_OFFSET + Call.values().length * Kind.values().length * RULE_BYTES;
    private static final int COMPILE_S = 60;

    private final Path file;
    private final MappedByteBuffer control;

    FaultShim(Path file) throws IOException {
        this.file = file;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
        }
        control.order(ByteOrder.nativeOrder());
    }

    /** Builds the library in the folder; returns empty if the machine has no C compiler. */
    static Optional<Path> build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("fault_shim.c");
        Path library = folder.resolve("fault_shim.so");
        try (InputStream text = FaultShim.class.getResourceAsStream("fault_shim.c")) {
            Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Process compiler;
        try {
            compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("fault_shim.log").toFile())
                    .start();
        } catch (IOException noCompiler) {
            return Optional.empty();
        }
        if (!compiler.waitFor(COMPILE_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException(
                    "fault_shim.c cannot be compiled: " + Files.readString(folder.resolve("fault_shim.log")));
        }
        return Optional.of(library);
    }

    /** Sets the environment that makes the process load the library. */
    void loadInto(ProcessBuilder process, Path library) {
        process.environment().put("LD_PRELOAD", library.toString());
        process.environment().put("SOAK_SHIM", file.toString());
    }

    /** Sets the ports whose connections count as discovery connections; all others count as backend connections. */
    void discoveryPorts(int... ports) {
        for (int i = 0; i < Math.min(ports.length, MAX_PORTS); i++) {
            control.putInt(PORTS_OFFSET + 4 * i, ports[i]);
        }
    }

    /** From now on, one in {@code oneIn} calls, chosen at random, fails with the error. */
    void fail(Call call, Kind kind, int oneIn, Errno errno) {
        int offset = ruleOffset(call, kind);
        control.putInt(offset + 4, errno.number);
        control.putInt(offset, oneIn);
    }

    /** Stops failing these calls. */
    void stopFailing(Call call, Kind kind) {
        control.putInt(ruleOffset(call, kind), 0);
    }

    /** Sets how far the wall clock is ahead from now on, ms. */
    void shiftClock(long ms) {
        control.putLong(0, TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** Returns how often each call was made to fail. */
    Map<Call, Long> hits() {
        Map<Call, Long> hits = new EnumMap<>(Call.class);
        for (Call call : Call.values()) {
            long sum = 0;
            for (Kind kind : Kind.values()) {
                sum += control.getLong(ruleOffset(call, kind) + HITS_OFFSET_IN_RULE);
            }
            hits.put(call, sum);
        }
        return hits;
    }

    /** Returns how often the shifted wall clock was read. */
    long clockHits() {
        return control.getLong(CLOCK_HITS_OFFSET);
    }

    private static int ruleOffset(Call call, Kind kind) {
        return RULES_OFFSET + (call.ordinal() * Kind.values().length + kind.ordinal()) * RULE_BYTES;
    }
}
