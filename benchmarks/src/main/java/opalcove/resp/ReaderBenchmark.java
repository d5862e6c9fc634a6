package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import opalcove.backend.ConnectionPool;
import opalcove.config.Clock;
import opalcove.core.RequestDispatcher;
import opalcove.laboratory.Laboratory;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/** Measures decoding a request of a client and a reply of a backend, with the JVM flags of the platform. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class ReaderBenchmark {
    private static final String REQUEST =
            "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$16\r\n9b1f03aa5c7e2d41\r\n"
                    + "$53\r\nc=slot-status,t=start,d=4000,units=2,spread=1,first=0\r\n";
    private static final String REPLY = "*3\r\n$16\r\nvvvvvvvvvvvvvvvv\r\n$14\r\nused=12,cost=1\r\n$8\r\nsvc_ms=5\r\n";

    private final ByteBuf request = bytes(REQUEST);
    private final ByteBuf reply = bytes(REPLY);
    private io.vertx.core.Vertx vertx;
    private RespDecoder clientDecoder;
    private RespDecoder backendDecoder;
    private Object decoded;

    private static ByteBuf bytes(String text) {
        return Unpooled.directBuffer().writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Creates the decoders of requests and backendDecoder. */
    @Setup
    public void start() {
        vertx = io.vertx.core.Vertx.vertx();
        var settings = Laboratory.settings();
        RequestDispatcher dispatcher = new RequestDispatcher(
                vertx,
                new Clock(),
                settings,
                1,
                new ConnectionPool(vertx, settings, new RespConnector(vertx, settings), 1));
        RequestDecoder requestDecoder = new RequestDecoder(dispatcher::requestValidator);
        BackendReplyDecoder replyDecoder = new BackendReplyDecoder(settings);
        clientDecoder = new RespDecoder(8, new RespListener() {
            @Override
            public void valueDecoded(RespDecoder value) {
                try {
                    decoded = requestDecoder.decode(value, null);
                } catch (opalcove.core.InvalidRequestException e) {
                    throw new IllegalStateException(e);
                }
            }

            @Override
            public void decodingFailed(String reason) {
                throw new IllegalStateException(reason);
            }
        });
        backendDecoder = new RespDecoder(BackendReplyDecoder.PARTS, new RespListener() {
            @Override
            public void valueDecoded(RespDecoder value) {
                decoded = replyDecoder.decode(value);
            }

            @Override
            public void decodingFailed(String reason) {
                throw new IllegalStateException(reason);
            }
        });
    }

    /** Closes Vert.x. */
    @TearDown
    public void stop() {
        vertx.close();
    }

    /** Decodes one request of a client. */
    @Benchmark
    public Object aRequest() {
        clientDecoder.decode(request.retainedDuplicate());
        return decoded;
    }

    /** Decodes one reply of a backend. */
    @Benchmark
    public Object aReply() {
        backendDecoder.decode(reply.retainedDuplicate());
        return decoded;
    }
}
